package membership

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"aspenyard.example/infra"
	"aspenyard.example/wire"
)

// Member is what a view knows of another node.
type Member struct {
	// LastHeartbeat is the latest accepted heartbeat; nil if only the list has the node.
	LastHeartbeat *wire.Heartbeat
	// VM is the node's item in the platform's list; Listed is set while there is one.
	VM     infra.VM
	Listed bool
	// Suspect is set if no heartbeat came for too long. Leaving is set if the node or the
	// platform's list says that the node is leaving.
	Suspect, Leaving bool
	// LastHeard is when LastHeartbeat arrived, moved forward by the pauses of this process.
	LastHeard time.Time
	// reportedLeavingAt is when another node last reported that the list has this node as
	// leaving.
	reportedLeavingAt time.Time
	// UnlistedSince is when the list was first read without this node; zero while the node
	// is listed.
	UnlistedSince time.Time
}

// Addr returns the node's heartbeat address.
func (m *Member) Addr() string {
	if m.LastHeartbeat != nil {
		return m.LastHeartbeat.Addr
	}
	return m.VM.Addr
}

// Name returns the node's name.
func (m *Member) Name() string {
	if m.LastHeartbeat != nil {
		return m.LastHeartbeat.Node
	}
	return m.VM.Name
}

// Role returns the node's role, RoleEntry or RoleAgent.
func (m *Member) Role() string {
	if m.LastHeartbeat != nil {
		return m.LastHeartbeat.Role
	}
	return m.VM.Role
}

// DataCentre returns the node's data centre.
func (m *Member) DataCentre() string {
	if m.LastHeartbeat != nil {
		return m.LastHeartbeat.DataCentre
	}
	return m.VM.DataCentre
}

// recentlyHeard returns whether the node has sent heartbeats and is not suspect.
func (m *Member) recentlyHeard() bool { return m.LastHeartbeat != nil && !m.Suspect }

// Alive returns whether the node has sent heartbeats, is not suspect and is not leaving.
func (m *Member) Alive() bool { return m.recentlyHeard() && !m.Leaving }

// View is an immutable snapshot of the membership.
type View struct {
	// Members holds the other nodes by name.
	Members map[string]*Member
	// ListReadAt is when the platform's list was last read; zero if it never was.
	ListReadAt time.Time
}

// Entries returns the entries of a data centre ("" for all) that are alive, sorted by
// name, without this node.
func (v *View) Entries(dataCentre string) []*Member {
	var entries []*Member
	for _, m := range v.Members {
		if m.Role() == RoleEntry && m.Alive() && (dataCentre == "" || m.DataCentre() == dataCentre) {
			entries = append(entries, m)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Name() < entries[j].Name() })
	return entries
}

// EntryCount returns the number of other entries that may be serving: those that send
// heartbeats or are listed by the platform, without those that are leaving.
func (v *View) EntryCount() int {
	return v.countEntries(func(m *Member) bool { return !m.Leaving })
}

// EntryCountWithLeaving returns the number of other entries that share a limit: those of
// EntryCount and those that are leaving, which still serve their requests in flight.
func (v *View) EntryCountWithLeaving() int {
	return v.countEntries(func(*Member) bool { return true })
}

// countEntries counts the entries that send heartbeats or are listed and that include
// accepts.
func (v *View) countEntries(include func(m *Member) bool) int {
	count := 0
	for _, m := range v.Members {
		if m.Role() == RoleEntry && (m.Listed || m.recentlyHeard()) && include(m) {
			count++
		}
	}
	return count
}

// state is the membership and the heartbeat schedule of this node. It belongs to the
// control thread.
type state struct {
	config     Config
	members    map[string]*Member
	listReadAt time.Time
	// leaveRequested is set by Leave, listedLeaving if this node has read in the platform's
	// list that it is leaving. reportedLeavingAt is when another node last reported so.
	leaveRequested, listedLeaving bool
	reportedLeavingAt             time.Time
	lastTick                      time.Time
	nextHeartbeat                 time.Time
	sequence                      uint64
	interval                      time.Duration
	viewChanged                   bool
	// advisedInterval and leavingNames are computed at each tick. Every response to a
	// heartbeat carries them, and computing them there would cost a pass over all
	// members for each response.
	advisedInterval time.Duration
	leavingNames    []string
	// recipientAddrs are the addresses that heartbeats are sent to, as chosen at
	// recipientsChosenAt; zero if they must be chosen again.
	recipientAddrs     []string
	recipientsChosenAt time.Time
	// meanHeartbeatBytes is the moving average of the size of sent heartbeats.
	meanHeartbeatBytes float64
}

func newState(config Config) *state {
	return &state{config: config, members: map[string]*Member{}, interval: config.Interval}
}

// acceptHeartbeat applies a heartbeat and returns true, unless it is outdated, is this
// node's own, or is a partial one of a node that is not known.
func (s *state) acceptHeartbeat(now time.Time, h *wire.Heartbeat) bool {
	if h.Node == s.config.Node || h.Node == "" {
		return false
	}
	member := s.members[h.Node]
	if h.Partial && (member == nil || member.LastHeartbeat == nil) {
		return false // the next full heartbeat identifies the node
	}
	if member == nil {
		member = &Member{}
		s.members[h.Node] = member
		s.recipientsChosenAt = time.Time{}
	}
	if last := member.LastHeartbeat; last != nil {
		// A datagram of an earlier incarnation, or one that a later one has overtaken,
		// must not restore an old state such as "not leaving".
		if h.Incarnation < last.Incarnation || (h.Incarnation == last.Incarnation && h.Sequence <= last.Sequence) {
			return false
		}
		if h.Partial {
			h.Role, h.DataCentre, h.Addr, h.LeavingNodes = last.Role, last.DataCentre, last.Addr, nil
		}
	}
	member.LastHeartbeat, member.LastHeard = h, now
	member.Suspect = false
	member.updateLeaving(now)
	s.viewChanged = true
	for _, name := range h.LeavingNodes {
		s.recordLeavingReport(now, name)
	}
	if h.Role == RoleEntry && s.config.Role == RoleAgent && h.AdvisedIntervalMs > 0 {
		s.interval = max(s.config.Interval, time.Duration(h.AdvisedIntervalMs)*time.Millisecond)
	}
	return true
}

// leavingReportTTL is how long another node's report that a node is listed as leaving
// counts if it is not repeated.
const leavingReportTTL = 10 * time.Second

// updateLeaving sets Leaving if any source says so: the node's last heartbeat, the list as
// last read here, or another node's recent report of the list. Only the latest state of
// each source counts: a VM that is replaced under its old name is still "leaving" in a
// lagging list, and must get requests once the list is corrected.
func (m *Member) updateLeaving(now time.Time) {
	m.Leaving = (m.LastHeartbeat != nil && m.LastHeartbeat.Leaving) || (m.Listed && m.VM.Leaving) || reportIsRecent(now, m.reportedLeavingAt)
}

func reportIsRecent(now, reportedAt time.Time) bool {
	return !reportedAt.IsZero() && now.Sub(reportedAt) < leavingReportTTL
}

// freshListAge is the age up to which this node's own reading of the list overrides other
// nodes' reports, which may come from an older reading.
const freshListAge = 3 * time.Second

// recordLeavingReport records another node's report that the list has a node as leaving.
func (s *state) recordLeavingReport(now time.Time, name string) {
	if !s.listReadAt.IsZero() && now.Sub(s.listReadAt) < freshListAge {
		return
	}
	if name == s.config.Node {
		s.reportedLeavingAt = now
		return
	}
	if member := s.members[name]; member != nil {
		member.reportedLeavingAt = now
		member.updateLeaving(now)
		s.viewChanged = true
	}
}

// leaving returns whether this node is leaving, by any source.
func (s *state) leaving(now time.Time) bool {
	return s.leaveRequested || s.listedLeaving || reportIsRecent(now, s.reportedLeavingAt)
}

// applyList replaces what is known from the platform's list.
func (s *state) applyList(now time.Time, vms []infra.VM) {
	s.listReadAt = now
	s.viewChanged = true
	s.recipientsChosenAt = time.Time{}
	seen := map[string]bool{}
	for _, vm := range vms {
		seen[vm.Name] = true
		if vm.Name == s.config.Node {
			s.listedLeaving = vm.Leaving
			s.reportedLeavingAt = time.Time{}
			continue
		}
		member := s.members[vm.Name]
		if member == nil {
			member = &Member{}
			s.members[vm.Name] = member
		}
		member.VM, member.Listed, member.UnlistedSince = vm, true, time.Time{}
		member.reportedLeavingAt = time.Time{}
		member.updateLeaving(now)
	}
	for name, member := range s.members {
		if seen[name] {
			continue
		}
		member.Listed = false
		if member.UnlistedSince.IsZero() {
			member.UnlistedSince = now
		}
	}
}

// tick runs the failure detector.
//
// After a pause of this process all other nodes look silent. The gap between two ticks
// shows the pause, and every member's LastHeard is moved forward by it, so that no node
// is suspected because of this one's pause.
func (s *state) tick(now time.Time) {
	if !s.lastTick.IsZero() {
		if pause := now.Sub(s.lastTick) - s.config.Tick; pause > s.config.Tick {
			for _, member := range s.members {
				member.LastHeard = member.LastHeard.Add(pause)
			}
		}
	}
	s.lastTick = now
	s.advisedInterval = s.computeAdvisedInterval()
	s.leavingNames = s.listedLeavingNames()
	limit := s.suspectAfter()
	for name, member := range s.members {
		silence := now.Sub(member.LastHeard)
		if member.LastHeartbeat != nil && !member.Suspect && silence > limit {
			member.Suspect = true
			s.viewChanged = true
		}
		if !member.Listed && silence > s.config.RemoveAfter {
			delete(s.members, name)
			s.viewChanged = true
		}
	}
}

// suspectAfter returns the time without a heartbeat after which a node is suspect. It
// grows with the longer interval that a large fleet needs.
func (s *state) suspectAfter() time.Duration {
	return max(s.config.SuspectAfter, missedBeforeSuspect*s.advisedInterval)
}

// computeAdvisedInterval returns the heartbeat interval that an entry advises its agents
// to use, so that their heartbeats stay within BytesPerSecond. It is 0 on an agent.
func (s *state) computeAdvisedInterval() time.Duration {
	if s.config.Role != RoleEntry {
		return 0
	}
	agents := 0
	for _, member := range s.members {
		if member.Role() == RoleAgent {
			agents++
		}
	}
	needed := time.Duration(agents*agentHeartbeatBytes) * time.Second / time.Duration(s.config.BytesPerSecond)
	return max(s.config.Interval, needed)
}

// recipientsTTL is how long the chosen recipients are kept. New members and a new list
// change them at once; other changes are not worth a sort for each heartbeat.
const recipientsTTL = time.Second

// recipients returns the addresses that a round of heartbeats is sent to.
func (s *state) recipients(now time.Time) []string {
	if s.recipientsChosenAt.IsZero() || now.Sub(s.recipientsChosenAt) > recipientsTTL {
		s.recipientAddrs, s.recipientsChosenAt = s.chooseRecipients(), now
	}
	return s.recipientAddrs
}

// heartbeatSizeSamples is the number of heartbeats over which their size is averaged,
// since full ones come between many partial ones.
const heartbeatSizeSamples = 10

// heartbeatInterval returns the time until the next round of heartbeats, after a round of
// one heartbeat of the given size to each recipient.
func (s *state) heartbeatInterval(recipients, bytes int) time.Duration {
	if s.config.Role != RoleEntry {
		return s.interval
	}
	s.meanHeartbeatBytes += (float64(bytes) - s.meanHeartbeatBytes) / heartbeatSizeSamples
	needed := float64(recipients) * s.meanHeartbeatBytes / float64(s.config.BytesPerSecond)
	return max(s.config.Interval, time.Duration(needed*float64(time.Second)))
}

// affordableEntries returns to how many entries of each data centre this entry can report
// at LongestInterval within BytesPerSecond.
func (s *state) affordableEntries(dataCentres int) int {
	if s.config.Role != RoleEntry || s.config.LongestInterval == 0 || s.meanHeartbeatBytes == 0 {
		return 0
	}
	roundBytes := s.config.LongestInterval.Seconds() * float64(s.config.BytesPerSecond)
	return int(roundBytes/s.meanHeartbeatBytes) / max(dataCentres, 1)
}

// chooseRecipients returns the addresses that a round of heartbeats is sent to: entries of
// this data centre and of each other one, as many as LocalEntries and RemoteEntries say
// or as affordableEntries allows. All nodes report to entries; agents get responses instead
// of rounds of heartbeats.
//
// An entry that hears only some of the others extrapolates their load to all, and two
// entries that hear different ones send to the same engines. More requests are served if
// an entry knows the load of all others late than if it knows that of some sooner.
//
// Rendezvous hashing chooses the entries, so that each node keeps its recipients, every
// entry receives an even share of the heartbeats, and the traffic of a node does not grow
// with the fleet.
func (s *state) chooseRecipients() []string {
	byDataCentre := map[string][]*Member{}
	for _, member := range s.members {
		if member.Role() == RoleEntry && member.Addr() != "" {
			byDataCentre[member.DataCentre()] = append(byDataCentre[member.DataCentre()], member)
		}
	}
	affordable := s.affordableEntries(len(byDataCentre))
	var recipients []string
	for dataCentre, entries := range byDataCentre {
		count := s.config.RemoteEntries
		if dataCentre == s.config.DataCentre {
			count = s.config.LocalEntries
		}
		for _, member := range s.highestRanked(entries, max(count, affordable)) {
			recipients = append(recipients, member.Addr())
		}
	}
	if len(recipients) == 0 {
		return s.config.Seeds
	}
	return recipients
}

// highestRanked returns the members that the rendezvous hash ranks first for this node, at
// most count of them. It sorts members in place.
func (s *state) highestRanked(members []*Member, count int) []*Member {
	sort.Slice(members, func(i, j int) bool {
		return xxhash.Sum64String(s.config.Node+"\x00"+members[i].Name()) > xxhash.Sum64String(s.config.Node+"\x00"+members[j].Name())
	})
	return members[:min(count, len(members))]
}

// listedLeavingNames returns the nodes that the platform's list has as leaving, at most
// maxLeavingNames. They may not know it yet themselves.
func (s *state) listedLeavingNames() []string {
	var names []string
	for name, member := range s.members {
		if member.Listed && member.VM.Leaving && len(names) < maxLeavingNames {
			names = append(names, name)
		}
	}
	return names
}

// maxLeavingNames keeps a heartbeat within one datagram.
const maxLeavingNames = 16

// view returns a copy of the membership for publishing.
func (s *state) view() *View {
	view := &View{Members: make(map[string]*Member, len(s.members)), ListReadAt: s.listReadAt}
	for name, member := range s.members {
		published := *member
		view.Members[name] = &published
	}
	return view
}
