package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"aspenyard.example/infra"
	"aspenyard.example/wire"
)

var testStart = time.Unix(1_780_000_000, 0)

func testState(role string) *state {
	config := Config{
		Node: "self", Role: role, DataCentre: "dc1", Advertise: "127.0.0.1:1", Interval: 100 * time.Millisecond,
		SuspectAfter: time.Second, Seeds: []string{"127.0.0.1:9"},
	}
	config.setDefaults()
	return newState(config)
}

func testHeartbeat(node string, incarnation, sequence uint64) *wire.Heartbeat {
	return &wire.Heartbeat{
		Node: node, Role: RoleAgent, DataCentre: "dc1", Addr: "127.0.0.1:2", Incarnation: incarnation, Sequence: sequence,
	}
}

// runTicks runs the failure detector every tick over a span of time and returns its end.
func (s *state) runTicks(from time.Time, span time.Duration) time.Time {
	for now := from; now.Before(from.Add(span)); now = now.Add(s.config.Tick) {
		s.tick(now)
	}
	return from.Add(span)
}

func TestSilentNodeIsSuspectUntilNextHeartbeat(t *testing.T) {
	is := is.New(t)
	s := testState(RoleEntry)
	is.True(s.acceptHeartbeat(testStart, testHeartbeat("a", 1, 1)))
	now := s.runTicks(testStart, 900*time.Millisecond)
	is.True(!s.members["a"].Suspect)
	now = s.runTicks(now, 300*time.Millisecond)
	is.True(s.members["a"].Suspect)
	s.acceptHeartbeat(now, testHeartbeat("a", 1, 2))
	is.True(!s.members["a"].Suspect)
}

// Guards against an entry that refuses all requests after it was paused for longer than
// the failure detector's limit, because it takes its own pause for the silence of every
// endpoint.
func TestOwnPauseDoesNotSuspectPeers(t *testing.T) {
	is := is.New(t)
	s := testState(RoleEntry)
	s.acceptHeartbeat(testStart, testHeartbeat("a", 1, 1))
	now := s.runTicks(testStart, 200*time.Millisecond)
	s.tick(now.Add(time.Minute)) // the first tick after the pause
	is.True(!s.members["a"].Suspect)
	s.runTicks(now.Add(time.Minute), 2*time.Second)
	is.True(s.members["a"].Suspect) // real silence is still detected
}

// Guards against an endpoint that is leaving and gets requests again, because a datagram
// from before it said so arrives late.
func TestLateDatagramDoesNotUndoLeaving(t *testing.T) {
	is := is.New(t)
	s := testState(RoleEntry)
	leaving := testHeartbeat("a", 2, 5)
	leaving.Leaving = true
	s.acceptHeartbeat(testStart, leaving)
	is.True(!s.acceptHeartbeat(testStart, testHeartbeat("a", 2, 4))) // overtaken
	is.True(!s.acceptHeartbeat(testStart, testHeartbeat("a", 1, 9))) // an earlier incarnation
	is.True(s.members["a"].Leaving)
	is.True(s.acceptHeartbeat(testStart, testHeartbeat("a", 3, 1))) // a new incarnation serves
	is.True(!s.members["a"].Leaving)
}

// Guards against a replaced VM that never gets requests: the list still has its name as
// leaving when the new process starts, and the corrected list must end that.
func TestCorrectedListEndsLeaving(t *testing.T) {
	is := is.New(t)
	s := testState(RoleEntry)
	vm := infra.VM{Name: "a", Role: RoleAgent, Leaving: true}
	s.applyList(testStart, []infra.VM{vm, {Name: "self", Leaving: true}})
	s.acceptHeartbeat(testStart, testHeartbeat("a", 2, 1))
	is.True(s.members["a"].Leaving)
	is.True(s.leaving(testStart))
	vm.Leaving = false
	s.applyList(testStart, []infra.VM{vm, {Name: "self"}})
	is.True(!s.members["a"].Leaving)
	is.True(!s.leaving(testStart))
}

func TestPeerReportOfLeavingExpires(t *testing.T) {
	is := is.New(t)
	s := testState(RoleAgent)
	report := testHeartbeat("entry", 1, 1)
	report.Role, report.LeavingNodes = RoleEntry, []string{"self", "a"}
	s.acceptHeartbeat(testStart, testHeartbeat("a", 1, 1))
	s.acceptHeartbeat(testStart, report)
	is.True(s.leaving(testStart))
	is.True(s.members["a"].Leaving)
	is.True(!s.leaving(testStart.Add(2 * leavingReportTTL)))
}

// Guards against a replaced VM that refuses requests for seconds after the list is
// corrected: this node has read the corrected list, and another, which has not, still
// reports the old state.
func TestFreshListOverridesPeerReportOfLeaving(t *testing.T) {
	is := is.New(t)
	s := testState(RoleAgent)
	s.applyList(testStart, []infra.VM{{Name: "self"}})
	report := testHeartbeat("entry", 1, 1)
	report.Role, report.LeavingNodes = RoleEntry, []string{"self"}
	s.acceptHeartbeat(testStart.Add(time.Second), report)
	is.True(!s.leaving(testStart.Add(time.Second)))
	report = testHeartbeat("entry", 1, 2)
	report.Role, report.LeavingNodes = RoleEntry, []string{"self"}
	s.acceptHeartbeat(testStart.Add(time.Minute), report) // this node's own reading is old by now
	is.True(s.leaving(testStart.Add(time.Minute)))
}

func TestUnlistedSinceIsKept(t *testing.T) {
	is := is.New(t)
	s := testState(RoleEntry)
	s.acceptHeartbeat(testStart, testHeartbeat("a", 1, 1))
	s.applyList(testStart, []infra.VM{{Name: "a"}})
	is.True(s.members["a"].UnlistedSince.IsZero())
	s.applyList(testStart.Add(time.Second), nil)
	s.applyList(testStart.Add(2*time.Second), nil)
	is.Equal(s.members["a"].UnlistedSince, testStart.Add(time.Second))
}

// A partial heartbeat keeps the identity that the last full one gave the node. From an
// unknown node it is ignored.
func TestPartialHeartbeatKeepsNodeIdentity(t *testing.T) {
	is := is.New(t)
	s := testState(RoleEntry)
	is.True(!s.acceptHeartbeat(testStart, &wire.Heartbeat{Node: "a", Incarnation: 1, Sequence: 1, Partial: true}))
	full := testHeartbeat("a", 1, 2)
	full.Role = RoleEntry
	is.True(s.acceptHeartbeat(testStart, full))
	is.True(s.acceptHeartbeat(testStart, &wire.Heartbeat{Node: "a", Incarnation: 1, Sequence: 3, Partial: true}))
	is.Equal(s.members["a"].Role(), RoleEntry)
	is.Equal(s.members["a"].Addr(), "127.0.0.1:2")
	is.True(!s.acceptHeartbeat(testStart, &wire.Heartbeat{Node: "a", Incarnation: 1, Sequence: 3, Partial: true})) // a duplicate
	is.Equal(s.recipients(testStart), []string{"127.0.0.1:2"})
}

// The heartbeat interval grows when there are more recipients than BytesPerSecond allows
// at the configured one.
func TestHeartbeatIntervalKeepsByteRate(t *testing.T) {
	is := is.New(t)
	s := testState(RoleEntry)
	s.config.BytesPerSecond = 10_000
	for range 100 {
		s.heartbeatInterval(4, 100)
	}
	is.Equal(s.heartbeatInterval(4, 100), s.config.Interval)
	for range 200 {
		s.heartbeatInterval(100, 100)
	}
	interval := s.heartbeatInterval(100, 100)
	is.True(interval > 950*time.Millisecond && interval <= time.Second)
}

func TestRecipientsAreBoundedAndFallBackToSeeds(t *testing.T) {
	is := is.New(t)
	s := testState(RoleAgent)
	is.Equal(s.recipients(testStart), []string{"127.0.0.1:9"})
	var vms []infra.VM
	for i := range 30 {
		for _, dc := range []string{"dc1", "dc2"} {
			vms = append(vms, infra.VM{Name: fmt.Sprint(dc, i), Role: RoleEntry, DataCentre: dc, Addr: fmt.Sprint("10.0.0.1:", i)})
		}
	}
	s.applyList(testStart, vms)
	is.Equal(len(s.recipients(testStart)), defaultLocalEntries+defaultRemoteEntries)
}

func TestAdvisedIntervalKeepsByteRate(t *testing.T) {
	is := is.New(t)
	s := testState(RoleEntry)
	for i := range 400 {
		s.acceptHeartbeat(testStart, testHeartbeat(fmt.Sprint("a", i), 1, 1))
	}
	s.tick(testStart)
	perSecond := 400 * agentHeartbeatBytes / s.advisedInterval.Seconds()
	is.True(perSecond <= float64(s.config.BytesPerSecond)+1)
	is.True(s.suspectAfter() >= missedBeforeSuspect*s.advisedInterval)
}

type noopDelegate struct{}

func (noopDelegate) FillHeartbeat(time.Time, *wire.Heartbeat)   {}
func (noopDelegate) HandleHeartbeat(time.Time, *wire.Heartbeat) {}
func (noopDelegate) Tick(time.Time, *View)                      {}

func FuzzReceive(f *testing.F) {
	good, err := proto.Marshal(testHeartbeat("a", 1, 1))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte{})
	f.Fuzz(func(_ *testing.T, data []byte) {
		loop := NewLoop(Config{Node: "self", Role: RoleEntry, DataCentre: "dc1", Interval: time.Second, SuspectAfter: time.Second}, noopDelegate{})
		loop.Receive(testStart, data)
		loop.Step(testStart)
	})
}

// Guards against entries that know only some of the others while BytesPerSecond allows
// reports to all. With sixty entries in five data centres, each of which reported to eight
// per data centre, an entry knew two thirds of the others, did not see the requests of the
// rest, and sent to engines that were in use.
func TestEntryReportsToAllPeersWithinByteRate(t *testing.T) {
	const dataCentres, heartbeatBytes = 5, 150
	for _, c := range []struct {
		entries, least, most int
	}{
		{24, 23, 23},
		{68, 67, 67},
		{1000, 90, 100}, // 15,000 bytes in 300 ms
	} {
		t.Run(fmt.Sprint(c.entries), func(t *testing.T) {
			is := is.New(t)
			s := testState(RoleEntry)
			s.config.LocalEntries, s.config.RemoteEntries, s.config.LongestInterval, s.config.BytesPerSecond = 8, 8, 300*time.Millisecond, 50_000
			for i := range c.entries - 1 {
				h := testHeartbeat(fmt.Sprintf("e-%03d", i), 1, 1)
				h.Role, h.DataCentre, h.Addr = RoleEntry, fmt.Sprintf("dc%d", i%dataCentres), fmt.Sprintf("127.0.0.1:%d", 1000+i)
				is.True(s.acceptHeartbeat(testStart, h))
			}
			recipients := s.recipients(testStart)
			for range 200 {
				s.heartbeatInterval(len(recipients), heartbeatBytes)
			}
			recipients = s.recipients(testStart.Add(2 * recipientsTTL))
			interval := s.heartbeatInterval(len(recipients), heartbeatBytes)
			is.True(len(recipients) >= c.least && len(recipients) <= c.most)
			is.True(interval <= s.config.LongestInterval)
			is.True(float64(len(recipients)*heartbeatBytes)/interval.Seconds() <= float64(s.config.BytesPerSecond)*1.01)
		})
	}
}
