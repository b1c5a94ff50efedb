package gateway

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"aspenyard.example/attempt"
	"aspenyard.example/attempt/crashcause"
	"aspenyard.example/attempt/verdict"
	"aspenyard.example/directory"
)

// subject is what a verdict is about: a request, or a part of prompts.
type subject interface {
	// name is the name of the subject's record.
	name() string
	// stands returns whether crashes suffice to refuse the subject.
	stands(crashes []verdict.Crash) bool
	// known returns what this entry knows of the subject, and whether it refuses it.
	known(g *Gateway, now time.Time) (v verdict.Verdict, refused bool)
	// merge applies what the store has of the subject.
	merge(g *Gateway, now time.Time, v verdict.Verdict)
}

// requestVerdict is the subject of a request that crashes endpoints.
type requestVerdict attempt.Fingerprint

// partVerdict is the subject of a part of prompts under which endpoints crash.
type partVerdict crashcause.Part

// partRecordPrefix begins the names of the records of parts of prompts.
const partRecordPrefix = "part-"

func (s requestVerdict) name() string { return attempt.Fingerprint(s).String() }

func (s partVerdict) name() string { return partRecordPrefix + formatPart(crashcause.Part(s)) }

func (s requestVerdict) stands(crashes []verdict.Crash) bool { return attempt.CrashesSuffice(crashes) }

func (s partVerdict) stands(crashes []verdict.Crash) bool { return crashcause.Stands(crashes) }

func (s requestVerdict) known(g *Gateway, now time.Time) (v verdict.Verdict, refused bool) {
	v, refused, _ = g.quarantine.Known(now, attempt.Fingerprint(s))
	return v, refused
}

func (s partVerdict) known(g *Gateway, now time.Time) (v verdict.Verdict, refused bool) {
	known := g.crashCauses.Known(now, crashcause.Part(s))
	return known.Verdict, known.Blamed
}

func (s requestVerdict) merge(g *Gateway, now time.Time, v verdict.Verdict) {
	if g.quarantine.MergeStored(now, attempt.Fingerprint(s), v) {
		g.reportQuarantined(attempt.Fingerprint(s), heardFromStore)
	}
}

func (s partVerdict) merge(g *Gateway, now time.Time, v verdict.Verdict) {
	g.reportParts(g.crashCauses.MergeStored(now, crashcause.Part(s), v), heardFromStore)
}

// heardFromStore takes the place of the entry's name in the log when a record completed the
// evidence against a request.
const heardFromStore = "store"

// refusedSubjects returns what this entry refuses.
func refusedSubjects(g *Gateway) []subject {
	var subjects []subject
	for _, request := range g.quarantine.Quarantined() {
		subjects = append(subjects, requestVerdict(request))
	}
	for _, part := range g.crashCauses.BlamedParts() {
		subjects = append(subjects, partVerdict(part))
	}
	return subjects
}

// subjectOf returns the subject of a record by its name.
func subjectOf(name string) (subject, error) {
	if id, isPart := strings.CutPrefix(name, partRecordPrefix); isPart {
		part, err := strconv.ParseUint(id, 16, 64)
		return partVerdict(part), errors.Wrapf(err, "record %q", name)
	}
	request, err := attempt.ParseFingerprint(name)
	return requestVerdict(request), errors.Wrapf(err, "record %q", name)
}

// verdictRecord is the form of a verdict in the store. Times are by the clock of the entry that wrote the record.
type verdictRecord struct {
	// Part identifies a part of prompts; Scope and Body are those of a request's fingerprint.
	Part  uint64 `json:"part,omitempty"`
	Scope uint64 `json:"scope,omitempty"`
	Body  uint64 `json:"body,omitempty"`
	// Position is the part's position in prompts.
	Position uint8           `json:"position"`
	Crashes  []recordedCrash `json:"crashes"`
	// Endpoints are those of Crashes; entries of earlier versions read them in records of requests, and write nothing else.
	Endpoints []uint32 `json:"endpoints,omitempty"`
	// Cancelled are the hashes of the endpoints whose crashes count no longer.
	Cancelled []uint32 `json:"cancelled,omitempty"`
	Trials    int      `json:"trials,omitempty"`
	Confirmed bool     `json:"confirmed,omitempty"`
	// WrittenUnixMilli is when the record was written; entries of earlier versions do not say it.
	WrittenUnixMilli int64 `json:"written_unix_ms,omitempty"`
}

// recordedCrash is a crash of an endpoint, given by the hashes of its incarnation and of a request in flight there.
type recordedCrash struct {
	Endpoint    uint32 `json:"endpoint"`
	Request     uint32 `json:"request,omitempty"`
	AtUnixMilli int64  `json:"at_unix_ms"`
}

const (
	// maxRecordedCrashes bounds what is used of a record.
	maxRecordedCrashes = 64
	// maxRecordedAge bounds the ages of recorded crashes. Crashes that old do not count.
	maxRecordedAge = 24 * time.Hour
)

// encodeVerdict returns the record of a verdict.
func encodeVerdict(now time.Time, name string, v *verdict.Verdict) (directory.Record, error) {
	s, err := subjectOf(name)
	if err != nil {
		return directory.Record{}, err
	}
	r := verdictRecord{Crashes: []recordedCrash{}, Cancelled: v.Cancelled, Trials: v.Trials, Confirmed: v.Confirmed, WrittenUnixMilli: now.UnixMilli(), Position: v.Position}
	for _, c := range v.Crashes {
		r.Crashes = append(r.Crashes, recordedCrash{c.Endpoint, c.Request, now.Add(-c.Age).UnixMilli()})
	}
	switch s := s.(type) {
	case partVerdict:
		r.Part = uint64(s)
	case requestVerdict:
		r.Scope, r.Body = s.Scope, s.Body
		for _, c := range v.Crashes {
			r.Endpoints = append(r.Endpoints, c.Endpoint)
		}
	}
	value, err := json.Marshal(r)
	return directory.Record{Name: name, Value: value}, errors.WithStack(err)
}

// decodeVerdict returns the subject of a record and the verdict on it.
func decodeVerdict(now time.Time, record *directory.Record) (subject, verdict.Verdict, error) {
	var r verdictRecord
	if err := json.Unmarshal(record.Value, &r); err != nil {
		return nil, verdict.Verdict{}, errors.WithStack(err)
	}
	s, err := subjectOf(record.Name)
	if err != nil {
		return nil, verdict.Verdict{}, err
	}
	if len(r.Crashes) == 0 && r.WrittenUnixMilli == 0 {
		for _, endpoint := range r.Endpoints {
			r.Crashes = append(r.Crashes, recordedCrash{Endpoint: endpoint, AtUnixMilli: now.UnixMilli()})
		}
	}
	v := verdict.Verdict{Cancelled: r.Cancelled[max(len(r.Cancelled)-maxRecordedCrashes, 0):], Trials: min(max(r.Trials, 0), maxRecordedCrashes), Confirmed: r.Confirmed, Position: r.Position}
	for _, c := range r.Crashes[max(len(r.Crashes)-maxRecordedCrashes, 0):] {
		v.Crashes = append(v.Crashes, verdict.Crash{Endpoint: c.Endpoint, Request: c.Request, Age: r.age(now, c.AtUnixMilli)})
	}
	return s, v, nil
}

// age returns how long ago a crash was. By the writer's clock alone it is known how old the crash was when the record was
// written; how old the record is, which the store keeps for recordTTL, follows from the clocks of two VMs, which differ.
func (r *verdictRecord) age(now time.Time, atUnixMilli int64) time.Duration {
	if r.WrittenUnixMilli == 0 {
		return max(now.Sub(time.UnixMilli(atUnixMilli)), 0)
	}
	atWrite := min(max(time.UnixMilli(r.WrittenUnixMilli).Sub(time.UnixMilli(atUnixMilli)), 0), maxRecordedAge)
	return atWrite + min(max(now.Sub(time.UnixMilli(r.WrittenUnixMilli)), 0), recordTTL)
}
