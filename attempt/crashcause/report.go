package crashcause

import (
	"cmp"
	"slices"
	"time"
)

// strongShare is the part of a report that is kept for suspects with several crashes, in percent.
const strongShare = 75

// Findings returns the findings to report to other nodes, at most limit: all of them if full is set, else what is
// new. If there are more, suspects with several crashes go first, in turns, and then the newest of the others.
func (t *Tracker) Findings(now time.Time, full bool, limit int) []Finding {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var strong, weak []Finding
	for _, s := range t.suspects {
		all := full || now.Before(s.announceUntil)
		findings := slices.DeleteFunc(s.findings(now), func(f Finding) bool { return !all && f.Age > announceFor })
		if s.shareable() {
			strong = append(strong, findings...)
		} else {
			weak = append(weak, findings...)
		}
	}
	if len(strong)+len(weak) <= limit {
		return append(strong, weak...)
	}
	if most := max(limit*strongShare/100, limit-len(weak)); len(strong) > most {
		slices.SortFunc(strong, func(a, b Finding) int {
			return cmp.Or(cmp.Compare(a.Part, b.Part), cmp.Compare(a.Endpoint, b.Endpoint))
		})
		from := t.nextReport % len(strong)
		t.nextReport = from + most
		strong = append(strong[from:], strong[:from]...)[:most]
	}
	slices.SortFunc(weak, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Part, b.Part))
	})
	return append(strong, weak[:limit-len(strong)]...)
}

// shareable returns whether this node forwards what other nodes observed. It does not while there is only one
// crash: every crash makes suspects of all parts of the requests in flight there.
func (s *suspect) shareable() bool { return len(s.crashes) > 1 }

// findings returns the findings of a suspect that this node reports to others. What only the store reports, they read
// themselves; its times follow from clocks of other nodes.
func (s *suspect) findings(now time.Time) []Finding {
	var list []Finding
	if !s.answered.IsZero() {
		list = append(list, Finding{Part: s.part, Endpoint: Answered, Age: now.Sub(s.answered)})
	}
	for _, c := range s.crashes {
		if c.local || s.shareable() && !c.stored {
			list = append(list, Finding{s.part, c.endpoint, c.request, s.position, now.Sub(c.at)})
		}
	}
	return list
}
