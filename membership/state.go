package membership

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"aspenyard.example/infra"
	"aspenyard.example/wire"
)

// Member is one node in a view.
type Member struct {
	// LastHeartbeat is the latest heartbeat accepted; nil when only the list knows it.
	LastHeartbeat *wire.Heartbeat
	// VM is the platform's line; Listed tells whether there is one.
	VM     infra.VM
	Listed bool
	// Suspect: silent for too long. Leaving: by its own word or the list's.
	Suspect, Leaving bool
	// LastHeard is when Last arrived, moved on by this observer's own pauses.
	LastHeard time.Time
	// reportedLeavingAt is when another node last said that the list has this one as leaving.
	reportedLeavingAt time.Time
	// UnlistedSince is when the list was first read without this node; zero: listed.
	UnlistedSince time.Time
}

// Addr is the node's address.
func (m *Member) Addr() string {
	if m.LastHeartbeat != nil {
		return m.LastHeartbeat.Addr
	}
	return m.VM.Addr
}

// Name is the node's name.
func (m *Member) Name() string {
	if m.LastHeartbeat != nil {
		return m.LastHeartbeat.Node
	}
	return m.VM.Name
}

// Role is the node's role.
func (m *Member) Role() string {
	if m.LastHeartbeat != nil {
		return m.LastHeartbeat.Role
	}
	return m.VM.Role
}

// DataCentre is where the node stands.
func (m *Member) DataCentre() string {
	if m.LastHeartbeat != nil {
		return m.LastHeartbeat.DataCentre
	}
	return m.VM.DataCentre
}

// recentlyHeard tells whether the node was recentlyHeard of lately.
func (m *Member) recentlyHeard() bool { return m.LastHeartbeat != nil && !m.Suspect }

// Alive tells whether the node was heard of lately and is not leaving.
func (m *Member) Alive() bool { return m.recentlyHeard() && !m.Leaving }

// View is an immutable state of the membership.
type View struct {
	// Members by name, this node excluded.
	Members map[string]*Member
	// ListReadAt is when the platform's list was last read; zero: never.
	ListReadAt time.Time
}

// Entries lists the live entries of a data centre ("" for all), this node
// excluded, by name.
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

// EntryCount counts the entries that may be serving, this node excluded: those
// that are heard of and those that the platform lists.
func (v *View) EntryCount() int {
	return v.countEntries(func(m *Member) bool { return !m.Leaving })
}

// EntryCountWithLeaving counts the entries among which a limit is shared, this node excluded: those
// of EntryCount and those that are leaving, which still serve what they have.
func (v *View) EntryCountWithLeaving() int {
	return v.countEntries(func(*Member) bool { return true })
}

// countEntries counts, of the entries that are heard of or listed, those that are asked for.
func (v *View) countEntries(asked func(m *Member) bool) int {
	count := 0
	for _, m := range v.Members {
		if m.Role() == RoleEntry && (m.Listed || m.recentlyHeard()) && asked(m) {
			count++
		}
	}
	return count
}

// state is the membership itself. It belongs to the control thread.
type state struct {
	config     Config
	members    map[string]*Member
	listReadAt time.Time
	// leaveRequested: this process was told to stop; listedLeaving and rumoured: what the
	// platform's list says of this node, as read here and as told by others.
	leaveRequested, listedLeaving bool
	reportedLeavingAt             time.Time
	lastTick                      time.Time
	nextHeartbeat                 time.Time
	sequence                      uint64
	interval                      time.Duration
	viewChanged                   bool
	// advisedInterval and leavingNames are made anew at each tick: every heartbeat
	// received is answered with them, so that making them then would cost each
	// answer a walk over all members.
	advisedInterval time.Duration
	leavingNames    []string
	// recipientAddrs are the addresses of a round of heartbeats, chosen at targetsAt.
	recipientAddrs     []string
	recipientsChosenAt time.Time
	// meanHeartbeatBytes is the mean size of a heartbeat.
	meanHeartbeatBytes float64
}

func newState(config Config) *state {
	return &state{config: config, members: map[string]*Member{}, interval: config.Interval}
}

// acceptHeartbeat accepts a heartbeat unless it is older than what is known.
func (s *state) acceptHeartbeat(now time.Time, h *wire.Heartbeat) bool {
	if h.Node == s.config.Node || h.Node == "" {
		return false
	}
	member := s.members[h.Node]
	if h.Partial && (member == nil || member.LastHeartbeat == nil) {
		return false // who it is comes with the next whole one
	}
	if member == nil {
		member = &Member{}
		s.members[h.Node] = member
		s.recipientsChosenAt = time.Time{}
	}
	if last := member.LastHeartbeat; last != nil {
		// A delayed datagram of an earlier life, or one overtaken on its way, must
		// not bring back an old state such as "not leaving".
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

// leavingReportTTL is how long another node's word about the list counts without being
// repeated.
const leavingReportTTL = 10 * time.Second

// updateLeaving believes whichever source says "leaving": the node's own last word, the
// list as last read here, or another node's word about the list. Each is taken as
// it stands now and none is remembered: a VM that is replaced under its old name
// is still "leaving" in a lagging list, and must get work once the list is right.
func (m *Member) updateLeaving(now time.Time) {
	m.Leaving = (m.LastHeartbeat != nil && m.LastHeartbeat.Leaving) || (m.Listed && m.VM.Leaving) || reportIsRecent(now, m.reportedLeavingAt)
}

func reportIsRecent(now, rumoured time.Time) bool {
	return !rumoured.IsZero() && now.Sub(rumoured) < leavingReportTTL
}

// freshListAge is how recent this node's own reading of the list must be to count
// more than another node's word about it, which may come from an older reading.
const freshListAge = 3 * time.Second

// recordLeavingReport notes another node's word that the list has a node as leaving.
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

// leaving tells whether this node is leaving, by any source.
func (s *state) leaving(now time.Time) bool {
	return s.leaveRequested || s.listedLeaving || reportIsRecent(now, s.reportedLeavingAt)
}

// applyList takes in the platform's list.
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
// When this process was itself paused, all others look silent afterwards. The
// gap between two ticks shows the pause, and every member's last heartbeat is
// moved on by it, so that nobody is suspected for this node's own absence.
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
		silent := now.Sub(member.LastHeard)
		if member.LastHeartbeat != nil && !member.Suspect && silent > limit {
			member.Suspect = true
			s.viewChanged = true
		}
		if !member.Listed && silent > s.config.RemoveAfter {
			delete(s.members, name)
			s.viewChanged = true
		}
	}
}

// suspectAfter stretches with the interval that a large fleet needs.
func (s *state) suspectAfter() time.Duration {
	return max(s.config.SuspectAfter, missedBeforeSuspect*s.advisedInterval)
}

// computeAdvisedInterval is what this entry asks of its agents, so that their heartbeats
// stay within its bytes a second.
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

// recipientsTTL is how long the choice of whom to report to stands. Who came or went is
// seen at once; the rest is not worth a sort for each heartbeat.
const recipientsTTL = time.Second

// recipients gives the addresses of a round of heartbeats.
func (s *state) recipients(now time.Time) []string {
	if s.recipientsChosenAt.IsZero() || now.Sub(s.recipientsChosenAt) > recipientsTTL {
		s.recipientAddrs, s.recipientsChosenAt = s.chooseRecipients(), now
	}
	return s.recipientAddrs
}

// heartbeatSizeSamples is over how many heartbeats the size is averaged: whole ones come between
// many partial ones.
const heartbeatSizeSamples = 10

// heartbeatInterval is the time to the next round of heartbeats, after one of so many bytes
// each.
func (s *state) heartbeatInterval(targets, bytes int) time.Duration {
	if s.config.Role != RoleEntry {
		return s.interval
	}
	s.meanHeartbeatBytes += (float64(bytes) - s.meanHeartbeatBytes) / heartbeatSizeSamples
	needed := float64(targets) * s.meanHeartbeatBytes / float64(s.config.BytesPerSecond)
	return max(s.config.Interval, time.Duration(needed*float64(time.Second)))
}

// affordableEntries is to how many entries of each data centre this one can report without
// its heartbeats being further apart than LongestInterval.
func (s *state) affordableEntries(dataCentres int) int {
	if s.config.Role != RoleEntry || s.config.LongestInterval == 0 || s.meanHeartbeatBytes == 0 {
		return 0
	}
	round := s.config.LongestInterval.Seconds() * float64(s.config.BytesPerSecond)
	return int(round/s.meanHeartbeatBytes) / max(dataCentres, 1)
}

// chooseRecipients lists the addresses of a round of heartbeats: some entries of this
// data centre and a few of each other one, or all that can be afforded. Everyone reports to
// entries; agents are answered and need no round of their own.
//
// Entries that hear of a part of the others multiply it up to all, and two that hear of
// different ones send to the same engines: an entry that knows all others' work serves more
// than one that knows of it sooner.
//
// Which entries is decided by a rendezvous hash, so that each node keeps to its
// own few, each entry hears of an even share, and the traffic of a node does not
// grow with the fleet.
func (s *state) chooseRecipients() []string {
	byDataCentre := map[string][]*Member{}
	for _, member := range s.members {
		if member.Role() == RoleEntry && member.Addr() != "" {
			byDataCentre[member.DataCentre()] = append(byDataCentre[member.DataCentre()], member)
		}
	}
	afforded := s.affordableEntries(len(byDataCentre))
	var targets []string
	for dataCentre, entries := range byDataCentre {
		count := s.config.RemoteEntries
		if dataCentre == s.config.DataCentre {
			count = s.config.LocalEntries
		}
		for _, member := range s.highestRanked(entries, max(count, afforded)) {
			targets = append(targets, member.Addr())
		}
	}
	if len(targets) == 0 {
		return s.config.Seeds
	}
	return targets
}

// highestRanked takes the members that the rendezvous hash ranks first for this node.
func (s *state) highestRanked(members []*Member, count int) []*Member {
	sort.Slice(members, func(i, j int) bool {
		return xxhash.Sum64String(s.config.Node+"\x00"+members[i].Name()) > xxhash.Sum64String(s.config.Node+"\x00"+members[j].Name())
	})
	return members[:min(count, len(members))]
}

// listedLeavingNames names the nodes that the platform's list has as leaving and that
// may not know it yet.
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

func (s *state) view() *View {
	view := &View{Members: make(map[string]*Member, len(s.members)), ListReadAt: s.listReadAt}
	for name, member := range s.members {
		shown := *member
		view.Members[name] = &shown
	}
	return view
}
