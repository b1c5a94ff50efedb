package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"
)

const (
	// crashPart begins the names of the parts of prompts that crash every endpoint that begins to answer them;
	// commonPart is the first part of all prompts.
	crashPart, commonPart = "dead", "c0de"
	// Once crashesToRefusePart endpoints have crashed under a part, gateways must not send more than
	// maxSendsAfterQuarantine further prompts with it after calmTime, and must refuse no others because of it
	// after twice that time.
	crashesToRefusePart = 5
	// partRefusal is in the body of a refusal because of a part.
	partRefusal = "(3023)"
)

// promptOf returns the parts of a prompt: those given, and a last one that no other request has.
func promptOf(id string, parts ...string) string {
	return fmt.Sprintf("%s:40,%x:100", strings.Join(parts, ":40,"), id)
}

// sendCrashingParts sends prompts with one or two crashing parts, no two alike, each through a gateway chosen at
// random.
func sendCrashingParts(h *harness, f *Fault) {
	c := &caller{harness: h, name: fmt.Sprintf("y%d", f.Start), rand: rand.New(rand.NewPCG(h.config.Seed, uint64(f.Start)))}
	parts := 1 + f.Variant%2
	for until := time.Now().Add(f.Duration + 3*calmTime); time.Now().Before(until) && h.ctx.Err() == nil; {
		c.switchGateway()
		req := c.newRequest(routes[c.rand.IntN(len(routes))])
		req.APIKey = keyPlain
		req.Parts = promptOf(req.ID, commonPart, fmt.Sprintf("%s%x%d", crashPart, int64(f.Start), c.rand.IntN(parts)))
		c.send(h.ctx, req)
		time.Sleep(crashInterval)
	}
}

// crashingPart returns the part of a prompt that crashes endpoints; "" if it has none.
func crashingPart(parts string) string {
	for part := range strings.SplitSeq(parts, ",") {
		if strings.HasPrefix(part, crashPart) {
			return part
		}
	}
	return ""
}

// arrivalsByPart returns the arrivals of prompts with a crashing part at each service, in order of time.
func (ix *indexedRecord) arrivalsByPart() map[string][]*Arrival {
	arrivals := map[string][]*Arrival{}
	for i := range ix.Arrivals {
		a := &ix.Arrivals[i]
		if part := crashingPart(a.Parts); part != "" && ix.requestsByID[a.ID] != nil {
			key := part + " at " + a.Service
			arrivals[key] = append(arrivals[key], a)
		}
	}
	for _, list := range arrivals {
		sort.Slice(list, func(i, j int) bool { return list[i].ArrivedAt.Before(list[j].ArrivedAt) })
	}
	return arrivals
}

// crashTimes returns when the part that arrivals have in common crashed endpoints.
func crashTimes(arrivals []*Arrival) []time.Time {
	var times []time.Time
	for _, a := range arrivals {
		if a.Ran {
			times = append(times, a.ArrivedAt)
		}
	}
	return times
}

// checkCrashingParts finds parts of prompts that gateways kept sending after the parts had crashed several endpoints
// and the gateways had had time to learn of these crashes.
func checkCrashingParts(ix *indexedRecord) []string {
	var findings []string
	for part, arrivals := range ix.arrivalsByPart() {
		crashes, n := crashTimes(arrivals), 0
		if len(crashes) < crashesToRefusePart {
			continue
		}
		known := crashes[crashesToRefusePart-1]
		for _, a := range arrivals {
			if a.ArrivedAt.Sub(known) > calmTime && ix.undisturbed(ix.requestsByID[a.ID].Gateway, known, a.ArrivedAt, false) {
				n++
			}
		}
		if n > maxSendsAfterQuarantine {
			findings = append(findings, fmt.Sprintf("prompts with part %s were sent another %d times after they had crashed %d endpoints", part, n, crashesToRefusePart))
		}
	}
	return findings
}

// checkSoundPartsServed finds prompts without a crashing part that are refused because of a part, later after its
// fifth crash, or the last if there were fewer, than gateways need to tell the parts apart.
func checkSoundPartsServed(ix *indexedRecord) []string {
	type period struct{ from, to time.Time }
	var unclear []period
	for _, arrivals := range ix.arrivalsByPart() {
		if crashes := crashTimes(arrivals); len(crashes) > 0 {
			decisive := crashes[min(crashesToRefusePart, len(crashes))-1]
			unclear = append(unclear, period{crashes[0], decisive.Add(2 * calmTime)})
		}
	}
	return ix.findRequests(func(req *Request) string {
		if crashingPart(req.Parts) != "" || !strings.Contains(req.ResponseBody, partRefusal) {
			return ""
		}
		for _, p := range unclear {
			if req.SentAt.After(p.from) && req.SentAt.Before(p.to) {
				return ""
			}
		}
		return "refused because of a part that crashes no endpoint"
	})
}
