package direct

import (
	"maps"
	"slices"
	"time"
)

// entryList holds the entries that share what endpoints take from all entries together.
type entryList struct {
	// self is this entry's name, entries the names of all others. epoch counts their changes.
	self    string
	entries []string
	epoch   int
	// listed are the names as last listed, listedAt is when each of entries was last known to
	// be listed.
	listed   []string
	listedAt map[string]time.Time
}

func newEntryList() entryList { return entryList{listedAt: map[string]time.Time{}} }

// set sets this entry's name and the names of all registered entries. An entry counts for
// unlistedEntryTTL after its registration has ended: when the platform's store returns without any
// registrations, each entry would otherwise take everything for itself.
func (l *entryList) set(now time.Time, self string, entries []string) {
	for _, name := range slices.Concat(l.listed, entries) { // those listed before were so until now
		l.listedAt[name] = now
	}
	l.listed = slices.Clone(entries)
	maps.DeleteFunc(l.listedAt, func(name string, at time.Time) bool { return name == self || now.Sub(at) > unlistedEntryTTL })
	others := slices.Sorted(maps.Keys(l.listedAt))
	if self == l.self && slices.Equal(others, l.entries) {
		return
	}
	l.self, l.entries = self, others
	l.epoch++
}
