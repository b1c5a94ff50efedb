// Package crashcause determines which parts of prompts make endpoints crash. Every request that is in flight
// when an endpoint crashes is a possible cause, with every part that its prompt shares with others. Nodes
// exchange what they observed; each then looks for parts that explain the crashes, those further back in the
// prompts first, which fewer prompts share, so that parts which were only present beside a cause are not blamed.
// The package does no I/O and reads no clock: the time is an argument.
package crashcause

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Part identifies a part of prompts at one service: a truncated SHA-256 digest, so that nobody can name a part
// that stands for another.
type Part uint64

// PartOf returns the identifier of a part, by the name that callers give it, at a service. Another service may
// run other software, and what crashes one need not crash the other.
func PartOf(service, name string) Part {
	digest := sha256.New()
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(service)))
	_, _ = digest.Write(length[:])
	_, _ = digest.Write([]byte(service))
	_, _ = digest.Write([]byte(name))
	return Part(binary.LittleEndian.Uint64(digest.Sum(nil)))
}

// Finding is one observation about a part: an endpoint crashed while a request with it was in flight there, or
// such a request was answered completely.
type Finding struct {
	Part Part
	// Endpoint is a hash of the endpoint's incarnation that crashed, or Answered.
	Endpoint uint32
	// Request is a hash of the request, which all copies of it share. Valid for crashes.
	Request uint32
	// Position is the part's index in the prompt. Valid for crashes.
	Position uint8
	// Age is how long ago that was.
	Age time.Duration
}

// Answered is the value of Finding.Endpoint for a complete answer.
const Answered uint32 = 0

const (
	// crashesToBlame is the number of endpoint incarnations that must have crashed under a part, and
	// momentsToBlame the number of distinct moments at which they did: the loss of a rack, which ends many
	// endpoints at once, is one moment.
	crashesToBlame, momentsToBlame = 4, 3
	// A part that has been answered is shared by sound requests, none of which may be answered while other parts
	// crash many endpoints. It takes more crashes since the last answer, and a longer time from the first of them
	// to the last.
	crashesToBlameAnswered, momentsToBlameAnswered = 12, 6
	spanToBlameAnswered                            = 5 * time.Second
	// otherCrashesToBlame is how many of these crashes must have been under other requests than the one with
	// the most: copies of a single request may crash endpoints for another reason than the part.
	otherCrashesToBlame = 2
	// momentLength is the time within which crashes count as one moment.
	momentLength = 100 * time.Millisecond
	// maxCrashesKept is how many crashes of a part are kept, the latest ones.
	maxCrashesKept = 2 * crashesToBlameAnswered
	// findingTTL is how long a finding counts. It ends at the same time on all nodes, so that they do not keep
	// a finding alive by reporting it to each other.
	findingTTL = time.Hour
	// maxSuspects and maxAnswered bound the memory.
	maxSuspects, maxAnswered = 4096, 8192
	// evictedAtOnce is how many suspects are evicted when there are too many.
	evictedAtOnce = maxSuspects / 16
	// maxPartsOfARequest is how many parts of a request, the first ones, are recorded after a crash, so that a
	// single request does not displace the suspects of others.
	maxPartsOfARequest = 64
	// announceFor is for how long what is new about a part is in every report and not only in full ones, since
	// several reports may be lost.
	announceFor = 500 * time.Millisecond
	// A part is tried by single requests while it is blamed, since one that is shared by all prompts looks like a
	// cause while several other parts crash endpoints. Each entry may try it once between earlyTrialFrom and
	// earlyTrialTo after the crash by which it was blamed. Later trials are claimed in the store, by one entry each.
	earlyTrialFrom, earlyTrialTo = 500 * time.Millisecond, 2 * time.Second
	// maxClaims bounds the claimed trials of one verdict on all nodes together, restarts included.
	maxClaims = 3
	// claimWait is how long nodes wait for the result of a claimed trial while no trial has told anything. The node that
	// claimed it may have ended.
	claimWait = 5 * time.Second
	// grantTTL is how long a claimed trial may be used; it ends before other nodes claim the next one.
	grantTTL = 4 * time.Second
	// requestsCompared is how many of a service's last requests are compared: an answered part that all of them
	// have cannot be told from the service itself, and is not blamed.
	requestsCompared = 20
	// expiryInterval is the time between two removals of expired findings.
	expiryInterval = time.Second
)

// lateTrials are the times from the crash by which a part was blamed, or from the last claimed trial, to the next one
// once a trial has ended in a crash; lateTrialsAnswered those of a part that was answered before it was blamed.
var (
	lateTrials         = []time.Duration{time.Minute, 10 * time.Minute}
	lateTrialsAnswered = []time.Duration{5 * time.Second, 15 * time.Second, 40 * time.Second}
)
