package attempt

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/pkg/errors"
)

// ClaimState is what a claim in the store says of its request.
type ClaimState string

// The states. A claim moves from Claimed to any other. From NotRun, and from
// Claimed once the agent has confirmed that the order did not and will not run,
// it may be claimed again by a new attempt. Done is final. Unknown becomes Done
// only by the word of whoever received the outcome.
const (
	ClaimClaimed ClaimState = "claimed"
	ClaimDone    ClaimState = "done"
	ClaimNotRun  ClaimState = "not_run"
	ClaimUnknown ClaimState = "unknown"
)

// Claim is the record of a request that may run at most once, as the platform's
// store holds it. It is written by compare-and-swap before the order is sent,
// and names the one reservation that the order may use: whoever finds the claim
// can ask the one agent that knows what became of it.
type Claim struct {
	// Digest identifies the request's content: the same key with other content
	// is the caller's error.
	Digest string `json:"digest"`
	// Attempt is unique to the entry's try, so that a lost answer of the store is
	// settled by reading back.
	Attempt   string     `json:"attempt"`
	RequestID string     `json:"request_id"`
	State     ClaimState `json:"state"`
	// Endpoint and Addr name the agent; Reservation the place it gave.
	Endpoint    string      `json:"endpoint"`
	Addr        string      `json:"addr"`
	Reservation Reservation `json:"reservation"`
	// Outcome is set when State is ClaimDone.
	Outcome *ClaimOutcome `json:"outcome,omitempty"`
}

// ClaimOutcome is what the caller was told, or would have been.
type ClaimOutcome struct {
	Code          int    `json:"code"`
	ServiceStatus int    `json:"service_status"`
	Body          []byte `json:"body"`
}

// ClaimKey is a claim's key in the store.
func ClaimKey(account, idempotencyKey string) string {
	sum := sha256.Sum256([]byte(account + "\x00" + idempotencyKey))
	return "claims/" + hex.EncodeToString(sum[:])
}

// Digest identifies a request's content.
func Digest(kind string, body []byte) string {
	hash := sha256.New()
	hash.Write([]byte(kind + "\x00"))
	hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil))
}

// DecodeClaim reads a claim; nil for no data.
func DecodeClaim(data []byte) (*Claim, error) {
	if len(data) == 0 {
		return nil, nil
	}
	var claim Claim
	return &claim, errors.Wrap(json.Unmarshal(data, &claim), "claim")
}

// Encode writes a claim.
func (c *Claim) Encode() ([]byte, error) {
	data, err := json.Marshal(c)
	return data, errors.WithStack(err)
}

// ClaimAction is what an entry must do on finding a claim.
type ClaimAction int

// The judgements.
const (
	// Proceed: nobody has run it; claim it.
	Proceed ClaimAction = iota
	// Mismatch: the key belongs to another request.
	Mismatch
	// Replay: give the recorded outcome.
	Replay
	// AskAgent: the agent that the claim names knows.
	AskAgent
	// ReportUnknown: nobody can know.
	ReportUnknown
)

// ActionFor decides on a claim found in the store, or nil for none.
func ActionFor(claim *Claim, digest string) ClaimAction {
	switch {
	case claim == nil:
		return Proceed
	case claim.Digest != digest:
		return Mismatch
	case claim.State == ClaimDone:
		return Replay
	case claim.State == ClaimNotRun:
		return Proceed
	case claim.State == ClaimUnknown:
		return ReportUnknown
	}
	return AskAgent
}

// MayReplace tells whether a claim may be overwritten by next. Every write of a
// claim is checked by it, so that no path can undo an outcome or start a second
// run. confirmed is set when the agent said that old's order did not run.
func MayReplace(old, next *Claim, confirmed bool) bool {
	if old == nil {
		return next.State == ClaimClaimed
	}
	if old.Digest != next.Digest {
		return false
	}
	same := old.Attempt == next.Attempt
	switch old.State {
	case ClaimDone:
		return false
	case ClaimNotRun:
		return !same && next.State == ClaimClaimed
	case ClaimUnknown:
		return next.State == ClaimDone && same
	}
	switch next.State {
	case ClaimClaimed:
		return !same && confirmed
	case ClaimNotRun:
		return same && confirmed
	case ClaimUnknown:
		return same
	case ClaimDone:
		return same
	}
	return false
}
