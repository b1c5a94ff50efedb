package attempt

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/pkg/errors"
)

// ClaimState is the state of a request as its claim in the store has it.
type ClaimState string

// The states of a claim. ClaimClaimed may change to any other state. A new attempt may
// claim the request again from ClaimNotRun, and from ClaimClaimed once the agent has
// confirmed that the request did not and will not run. ClaimDone is final. ClaimUnknown
// changes to ClaimDone only through the entry that received the outcome.
const (
	ClaimClaimed ClaimState = "claimed"
	ClaimDone    ClaimState = "done"
	ClaimNotRun  ClaimState = "not_run"
	ClaimUnknown ClaimState = "unknown"
)

// Claim is the record in the platform's store of a request that may run at most once. It
// is written by compare-and-swap before the run request is sent, and names the only
// reservation that the run request may use. An entry that finds the claim can ask the one
// agent that knows the outcome.
type Claim struct {
	// Digest identifies the request's content. The same key with other content is an
	// error of the caller.
	Digest string `json:"digest"`
	// Attempt is the unique ID of the attempt. If the store's response to a write is lost,
	// reading the claim back shows whether the write succeeded.
	Attempt   string     `json:"attempt"`
	RequestID string     `json:"request_id"`
	State     ClaimState `json:"state"`
	// Endpoint and Addr identify the agent, Reservation the reservation that it gave.
	// Reservation is stored under the names of its Go fields.
	Endpoint    string      `json:"endpoint"`
	Addr        string      `json:"addr"`
	Reservation Reservation `json:"reservation"`
	// Outcome is set if State is ClaimDone.
	Outcome *ClaimOutcome `json:"outcome,omitempty"`
}

// ClaimOutcome is the response that the caller received or would have received: its result
// code, and the status and body of the service.
type ClaimOutcome struct {
	Code          int    `json:"code"`
	ServiceStatus int    `json:"service_status"`
	Body          []byte `json:"body"`
}

// ClaimKey returns the store key of the claim for a client account's idempotency key.
func ClaimKey(account, idempotencyKey string) string {
	sum := sha256.Sum256([]byte(account + "\x00" + idempotencyKey))
	return "claims/" + hex.EncodeToString(sum[:])
}

// Digest returns the digest of a request's content: the hexadecimal SHA-256 of its kind and
// body.
func Digest(kind string, body []byte) string {
	hash := sha256.New()
	hash.Write([]byte(kind + "\x00"))
	hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil))
}

// DecodeClaim decodes a claim from the store. It returns nil for no data, and an error for
// data that is not JSON.
func DecodeClaim(data []byte) (*Claim, error) {
	if len(data) == 0 {
		return nil, nil
	}
	var claim Claim
	return &claim, errors.Wrap(json.Unmarshal(data, &claim), "claim")
}

// Encode encodes a claim for the store, as JSON.
func (c *Claim) Encode() ([]byte, error) {
	data, err := json.Marshal(c)
	return data, errors.WithStack(err)
}

// ClaimAction is what an entry must do with a request, given the claim that it found.
type ClaimAction int

// The actions.
const (
	// Proceed: the request has not run; claim it.
	Proceed ClaimAction = iota
	// Mismatch: refuse, because the key belongs to another request.
	Mismatch
	// Replay: answer with the recorded outcome.
	Replay
	// AskAgent: ask the agent that the claim names what became of the request.
	AskAgent
	// ReportUnknown: answer that no node can tell whether the request ran.
	ReportUnknown
)

// ActionFor returns what to do with a request of the given digest whose claim was found in
// the store; claim is nil if there was none.
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

// MayReplace returns whether next may overwrite the claim old, which is nil if there is
// none. Every write of a claim is checked by it, so that no code path can undo an outcome
// or start a second run. confirmed is set if the agent has confirmed that the run request
// of old did not and will not run.
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
