package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"aspenyard.example/attempt/crashcause"
	"aspenyard.example/attempt/verdict"
	"aspenyard.example/directory"
	"aspenyard.example/eventlog"
)

const (
	// recordTTL is how long the store keeps a record: the longest lease that it grants.
	recordTTL = 10 * time.Minute
	// maxStoredVerdicts bounds how many records an entry knows of, and so how many it writes.
	maxStoredVerdicts = 4096
	// maxRecordConflicts is how often a write is tried again at once because another entry has written the record.
	maxRecordConflicts = 4
	// Entries that did not observe what the store lacks write it if the one that did has not: after reconcileDelay and a
	// random part of reconcileSpread for each entry, maxReconcileSpread at most, in which the first one's write
	// reaches the others.
	reconcileDelay     = 2 * time.Second
	reconcileSpread    = 10 * time.Millisecond
	maxReconcileSpread = 5 * time.Second
	// A write that failed is tried again after minRecordRetry, which doubles up to maxRecordRetry.
	minRecordRetry, maxRecordRetry = time.Second, 10 * time.Second
	// reportedFailures is the number of failures in a row after which a write's failure is logged.
	reportedFailures = 5
	// Entries that would claim the same trial begin at random times within claimSpread for each entry, at most
	// maxClaimSpread, and leave it to the first one whose claim reaches them.
	claimSpread, maxClaimSpread = 5 * time.Millisecond, 1500 * time.Millisecond
)

// verdicts keeps the records of what is refused because endpoints crashed in agreement with what this entry knows. What
// the store lacks is written, and what an answer has refuted is withdrawn, for as long as the two differ: the store may
// be away, a write may be carried out late, and a restored store may hold again what was withdrawn. It is safe for
// concurrent use.
type verdicts struct {
	gateway *Gateway
	mu      sync.Mutex
	// stored are the records as this entry last knew them in the store.
	stored map[string]storedVerdict
	// writes are the records that are to be written or being written.
	writes map[string]*verdictWrite
	// claiming are the parts of which this entry is claiming a trial.
	claiming map[crashcause.Part]bool
}

// storedVerdict is a record's verdict as it was when this entry learned of it.
type storedVerdict struct {
	verdict.Verdict
	at        directory.Position
	learnedAt time.Time
}

// verdictWrite is a record that differs from what this entry knows.
type verdictWrite struct {
	dueAt    time.Time
	busy     bool
	failures int
	retry    time.Duration
	// unconditional is set if the record is to be written even if the store has none: a write of another entry may
	// be under way.
	unconditional bool
}

func newVerdicts(g *Gateway) *verdicts {
	return &verdicts{gateway: g, stored: map[string]storedVerdict{}, writes: map[string]*verdictWrite{}, claiming: map[crashcause.Part]bool{}}
}

// apply takes over a record of the store, and what follows from it.
func (v *verdicts) apply(now time.Time, record directory.Record) {
	s, decoded, err := decodeVerdict(now, &record)
	if err != nil {
		v.gateway.log.Error("quarantine_record_refused", zap.String("name", record.Name), eventlog.Error(err))
		return
	}
	v.mu.Lock()
	known, found := v.stored[record.Name]
	if found && known.at.AtLeast(record.At) || !found && len(v.stored) >= maxStoredVerdicts {
		v.mu.Unlock()
		return
	}
	v.stored[record.Name] = storedVerdict{decoded, record.At, now}
	v.mu.Unlock()
	s.merge(v.gateway, now, decoded)
}

// forget takes over that the store no longer has a record.
func (v *verdicts) forget(name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.stored, name)
}

// replace takes over all records of the store.
func (v *verdicts) replace(now time.Time, records []directory.Record) {
	v.mu.Lock()
	clear(v.stored)
	v.mu.Unlock()
	for _, record := range records {
		v.apply(now, record)
	}
}

// write writes a record at once if it differs from what this entry has just observed.
func (v *verdicts) write(name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	w := v.writes[name]
	if w == nil {
		w = &verdictWrite{retry: minRecordRetry}
		v.writes[name] = w
	}
	w.unconditional = true
	if w.dueAt = time.Now(); !w.busy {
		w.busy = true
		go v.put(name, w)
	}
}

// reconcile finds the records that differ from what this entry knows and writes those that are due.
func (v *verdicts) reconcile(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	names := map[string]bool{}
	for name := range v.stored {
		names[name] = true
	}
	for _, s := range refusedSubjects(v.gateway) {
		if len(names) < maxStoredVerdicts {
			names[s.name()] = true
		}
	}
	for name := range names {
		if _, differs := v.merged(now, name, false); !differs {
			continue
		}
		if v.writes[name] == nil {
			v.writes[name] = &verdictWrite{dueAt: now.Add(reconcileDelay + v.spread(reconcileSpread, maxReconcileSpread)), retry: minRecordRetry}
		}
	}
	maps.DeleteFunc(v.writes, func(name string, w *verdictWrite) bool { return !w.busy && !w.unconditional && !names[name] })
	for name, w := range v.writes {
		if !w.busy && !now.Before(w.dueAt) {
			w.busy = true
			go v.put(name, w)
		}
	}
}

// spread returns a random wait that is longer the more entries there are.
func (v *verdicts) spread(each, most time.Duration) time.Duration {
	return time.Duration(rand.Float64() * float64(min(time.Duration(len(v.gateway.snapshot.Load().Nodes))*each, most)))
}

// merged returns the verdict that the store should have, and whether it differs from the one that it has. The caller holds
// mu.
func (v *verdicts) merged(now time.Time, name string, unconditional bool) (verdict.Verdict, bool) {
	s, err := subjectOf(name)
	if err != nil {
		return verdict.Verdict{}, false // another version's
	}
	stored, found := v.stored[name]
	known, refused := s.known(v.gateway, now)
	next := verdict.Merge(stored.Later(now.Sub(stored.learnedAt)), known, s.stands)
	switch {
	case s.stands(stored.Crashes) != s.stands(next.Crashes):
		return next, refused || s.stands(stored.Crashes)
	case !found && unconditional:
		return next, len(next.Cancelled) > 0
	case !s.stands(next.Crashes):
		return next, false
	}
	return next, next.Trials > stored.Trials || next.Confirmed && !stored.Confirmed
}

// put writes a record, and plans the next try if that fails.
func (v *verdicts) put(name string, w *verdictWrite) {
	err := v.update(name, func(now time.Time) (verdict.Verdict, bool) { return v.merged(now, name, w.unconditional) })
	v.mu.Lock()
	defer v.mu.Unlock()
	w.busy = false
	if err == nil {
		delete(v.writes, name)
		return
	}
	if w.failures++; w.failures == reportedFailures {
		v.gateway.log.Warn("quarantine_not_kept", zap.String("fingerprint", name), eventlog.Error(err))
	}
	w.dueAt = time.Now().Add(w.retry/2 + time.Duration(rand.Int64N(int64(w.retry))))
	w.retry = min(2*w.retry, maxRecordRetry)
}

// update writes what change returns in place of a record, unless it says that there is nothing to write. It is asked again if
// another entry has written the record meanwhile. change is called with mu held.
func (v *verdicts) update(name string, change func(now time.Time) (verdict.Verdict, bool)) error {
	for range maxRecordConflicts {
		now := time.Now()
		v.mu.Lock()
		next, differs := change(now)
		at := v.stored[name].at
		v.mu.Unlock()
		if !differs {
			return nil
		}
		record, err := encodeVerdict(now, name, &next)
		if err != nil {
			return err
		}
		record.At = at
		current, err := v.gateway.putRecord(record)
		switch {
		case err == nil:
			if s, err := subjectOf(name); err == nil && !s.stands(next.Crashes) {
				v.gateway.log.Info("verdict_withdrawn", zap.String("name", name))
			}
			v.apply(now, current)
			return nil
		case !errors.Is(err, directory.ErrRecordChanged):
			return err
		case current.At.IsZero():
			v.forget(name)
		default:
			v.apply(now, current)
		}
	}
	return errors.Errorf("record %s: changed by other nodes %d times in a row", name, maxRecordConflicts)
}

// putRecord makes one call that writes a record.
func (g *Gateway) putRecord(r directory.Record) (directory.Record, error) {
	ctx, cancel := context.WithTimeout(context.Background(), registryTimeout)
	defer cancel()
	return g.registry.PutRecord(directory.WithCallReason(ctx, "record"), r, recordTTL)
}

// claimTrial claims the trial of a part, in the background, if one is due for a request with the given parts. The store
// decides which entry makes it, so that a part which does crash endpoints is tried a bounded number of times by all
// entries together, however many there are, whether they hear of each other and however often they start.
func (v *verdicts) claimTrial(parts []crashcause.Part) {
	g := v.gateway
	part, due := g.crashCauses.ClaimDue(time.Now(), parts)
	if !due {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.claiming[part] {
		return
	}
	v.claiming[part] = true
	go func() {
		time.Sleep(v.spread(claimSpread, maxClaimSpread))
		claims, err := v.claim(part, parts)
		switch {
		case err != nil:
			g.log.Warn("part_trial_not_claimed", zap.String("part", formatPart(part)), eventlog.Error(err))
			time.Sleep(minRecordRetry)
		case claims > 0:
			g.log.Info("part_trial_claimed", zap.String("part", formatPart(part)), zap.Int("claims", claims))
			g.crashCauses.GrantTrial(time.Now(), part, claims)
		}
		v.mu.Lock()
		defer v.mu.Unlock()
		delete(v.claiming, part)
	}()
}

// claim claims a trial in the store and returns the number of claims since then; 0 if none is due any more.
func (v *verdicts) claim(part crashcause.Part, parts []crashcause.Part) (claims int, err error) {
	name := partVerdict(part).name()
	err = v.update(name, func(now time.Time) (verdict.Verdict, bool) {
		claims = 0
		if due, ok := v.gateway.crashCauses.ClaimDue(now, parts); !ok || due != part {
			return verdict.Verdict{}, false
		}
		next, _ := v.merged(now, name, true)
		next.Trials++
		claims = next.Trials
		return next, true
	})
	if err != nil {
		claims = 0
	}
	return claims, err
}
