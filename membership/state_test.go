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

// runTicks runs the detector every tick over a span of time.
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

// Symptom: after an entry was paused, it refuses all work, since every endpoint
// looks silent. Sequence: the process is stopped for longer than the detector's
// limit and goes on. Cause, were it there: taking one's own absence for others'.
func TestOwnPauseDoesNotSuspectPeers(t *testing.T) {
	is := is.New(t)
	s := testState(RoleEntry)
	s.acceptHeartbeat(testStart, testHeartbeat("a", 1, 1))
	now := s.runTicks(testStart, 200*time.Millisecond)
	s.tick(now.Add(time.Minute)) // the first tick after the pause
	is.True(!s.members["a"].Suspect)
	s.runTicks(now.Add(time.Minute), 2*time.Second)
	is.True(s.members["a"].Suspect) // real silence still shows
}

// Symptom: a leaving endpoint gets work again. Sequence: a datagram from before it
// said so arrives late. Cause, were it there: taking datagrams as they come.
func TestLateDatagramDoesNotUndoLeaving(t *testing.T) {
	is := is.New(t)
	s := testState(RoleEntry)
	leaving := testHeartbeat("a", 2, 5)
	leaving.Leaving = true
	s.acceptHeartbeat(testStart, leaving)
	is.True(!s.acceptHeartbeat(testStart, testHeartbeat("a", 2, 4))) // overtaken
	is.True(!s.acceptHeartbeat(testStart, testHeartbeat("a", 1, 9))) // an earlier life
	is.True(s.members["a"].Leaving)
	is.True(s.acceptHeartbeat(testStart, testHeartbeat("a", 3, 1))) // a new life serves
	is.True(!s.members["a"].Leaving)
}

// Symptom: a replaced VM never gets work. Sequence: the list still has its name as
// leaving when the new process starts, and is then corrected. Cause: remembering
// the list's old word.
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
	word := testHeartbeat("entry", 1, 1)
	word.Role, word.LeavingNodes = RoleEntry, []string{"self", "a"}
	s.acceptHeartbeat(testStart, testHeartbeat("a", 1, 1))
	s.acceptHeartbeat(testStart, word)
	is.True(s.leaving(testStart))
	is.True(s.members["a"].Leaving)
	is.True(!s.leaving(testStart.Add(2 * leavingReportTTL)))
}

// Symptom: a replaced VM refuses work for seconds after the list is right. Sequence:
// this node reads the corrected list; another, which has not yet, passes on the old
// word. Cause: taking another's word over one's own newer reading.
func TestFreshListOverridesPeerReportOfLeaving(t *testing.T) {
	is := is.New(t)
	s := testState(RoleAgent)
	s.applyList(testStart, []infra.VM{{Name: "self"}})
	word := testHeartbeat("entry", 1, 1)
	word.Role, word.LeavingNodes = RoleEntry, []string{"self"}
	s.acceptHeartbeat(testStart.Add(time.Second), word)
	is.True(!s.leaving(testStart.Add(time.Second)))
	word = testHeartbeat("entry", 1, 2)
	word.Role, word.LeavingNodes = RoleEntry, []string{"self"}
	s.acceptHeartbeat(testStart.Add(time.Minute), word) // one's own reading is old by now
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

// A partial heartbeat keeps what the last whole one said of the node; from a node that is
// not known it says too little.
func TestPartialHeartbeatKeepsNodeIdentity(t *testing.T) {
	is := is.New(t)
	s := testState(RoleEntry)
	is.True(!s.acceptHeartbeat(testStart, &wire.Heartbeat{Node: "a", Incarnation: 1, Sequence: 1, Partial: true}))
	whole := testHeartbeat("a", 1, 2)
	whole.Role = RoleEntry
	is.True(s.acceptHeartbeat(testStart, whole))
	is.True(s.acceptHeartbeat(testStart, &wire.Heartbeat{Node: "a", Incarnation: 1, Sequence: 3, Partial: true}))
	is.Equal(s.members["a"].Role(), RoleEntry)
	is.Equal(s.members["a"].Addr(), "127.0.0.1:2")
	is.True(!s.acceptHeartbeat(testStart, &wire.Heartbeat{Node: "a", Incarnation: 1, Sequence: 3, Partial: true})) // once more
	is.Equal(s.recipients(testStart), []string{"127.0.0.1:2"})
}

// Heartbeats come less often where there are more of them than their bytes allow.
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
	is.Equal(len(s.recipients(testStart)), defaultNearEntries+defaultFarEntries)
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

// Symptom: at sixty entries each knows of two thirds of the others, sees none of the rest's
// requests, and sends to engines that are in use. Sequence: entries of five data centres, each
// of which reports to eight of its own and eight of each other one. Cause: whom an entry
// reports to was a number, whatever the heartbeats take.
func TestEntryReportsToAllPeersWithinByteRate(t *testing.T) {
	const dataCentres, bytes = 5, 150
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
			targets := s.recipients(testStart)
			for range 200 {
				s.heartbeatInterval(len(targets), bytes)
			}
			targets = s.recipients(testStart.Add(2 * recipientsTTL))
			interval := s.heartbeatInterval(len(targets), bytes)
			is.True(len(targets) >= c.least && len(targets) <= c.most)
			is.True(interval <= s.config.LongestInterval)
			is.True(float64(len(targets)*bytes)/interval.Seconds() <= float64(s.config.BytesPerSecond)*1.01)
		})
	}
}
