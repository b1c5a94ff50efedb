// Package result defines the numbered result codes that every response carries, and the error
// type that carries a code from where a failure occurs to the caller.
//
// The code, the callers' interface and docs/RESULT-CODES.md share one table, so that an
// operator can look up any code that is found in a log.
package result

import (
	"errors"
	"fmt"
	"time"
)

// Code is the number of one kind of outcome. A number never changes its meaning and is never
// reused.
type Code int

// The result codes. 1xxx: carried out; 2xxx: the request is invalid; 3xxx: refused before
// anything of it ran; 4xxx: failed after admission; 5xxx: internal error. 3009 was withdrawn
// before the first release and is not used again.
const (
	OK       Code = 1000
	Replayed Code = 1001

	BadBody          Code = 2001
	UnknownKind      Code = 2002
	NoKey            Code = 2003
	WrongKey         Code = 2004
	BodyTooLarge     Code = 2005
	BadField         Code = 2006
	BadDeadline      Code = 2007
	UnknownModel     Code = 2008
	PromptTooLong    Code = 2009
	KeyReused        Code = 2010
	KeyRequired      Code = 2011
	UnknownRequest   Code = 2012
	EditConflict     Code = 2013
	BadCatalogue     Code = 2014
	NotOperator      Code = 2015
	UnknownEntry     Code = 2016
	MethodNotAllowed Code = 2017
	BadRequest       Code = 2018
	HeaderTooLarge   Code = 2019
	SlowCaller       Code = 2020

	RateLimited        Code = 3001
	TooManyConcurrent  Code = 3002
	TokenLimited       Code = 3003
	Overloaded         Code = 3004
	DeadlineUnmeetable Code = 3005
	NoEndpoint         Code = 3006
	Leaving            Code = 3007
	StoreUnavailable   Code = 3008
	InProgress         Code = 3010
	Withdrawn          Code = 3011
	NoReservation      Code = 3012
	NoPower            Code = 3013
	NotReady           Code = 3014
	Quarantined        Code = 3015
	EndpointsLimited   Code = 3016
	EndpointsInBackoff Code = 3017
	Evacuated          Code = 3018
	EndpointsCold      Code = 3019
	NotAdmitted        Code = 3020
	OutsideRegions     Code = 3021
	EntryFull          Code = 3022
	PartQuarantined    Code = 3023

	DeadlineExceeded Code = 4001
	OutcomeUnknown   Code = 4002
	EndpointFailed   Code = 4003
	Cancelled        Code = 4004
	ServiceFailed    Code = 4005
	RetryBudget      Code = 4006
	Interrupted      Code = 4007

	Internal Code = 5001
)

// Ran says whether the requested work ran.
type Ran string

// The values of Ran. RanNo is used only if it is certain that the work did not run and will
// not run. RanUnknown is used if no process that could know can be reached.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Info is the row of one code in the table of codes.
type Info struct {
	Code Code
	// Name is the stable identifier in logs and error bodies.
	Name string
	// HTTPStatus is the HTTP status of a response with this code.
	HTTPStatus int
	// Meaning says what happened, in a sentence.
	Meaning string
	// Action says what the caller or an operator should do.
	Action string
}

// Error is a failure with its result code. Code, Ran, RetryAfter and Detail are sent to the
// caller.
type Error struct {
	Code Code
	Ran  Ran
	// RetryAfter is how long the caller should wait before it sends the request again; 0 if
	// there is no advice.
	RetryAfter time.Duration
	// Deferral is set if an agent will queue the request ahead of later ones when it is sent
	// again after RetryAfter.
	Deferral bool
	// Detail is free text about this failure.
	Detail string
}

// Error returns the code's name and number and the detail.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%d): %s", Lookup(e.Code).Name, e.Code, e.Detail)
}

// Refuse returns an error for work that certainly did not run and will not run.
func Refuse(code Code, retryAfter time.Duration, format string, args ...any) *Error {
	return &Error{Code: code, Ran: RanNo, RetryAfter: retryAfter, Detail: fmt.Sprintf(format, args...)}
}

// Fail returns an error for work that was admitted. ran says what is known about whether it
// ran.
func Fail(code Code, ran Ran, format string, args ...any) *Error {
	return &Error{Code: code, Ran: ran, Detail: fmt.Sprintf(format, args...)}
}

// Refusal reports whether the code means that the request was refused before anything of it
// ran.
func (c Code) Refusal() bool { return c >= RateLimited && c < DeadlineExceeded }

// Busy reports whether the code means that the endpoints have too much work, so that sending
// the request again later may help.
func (c Code) Busy() bool { return c == Overloaded || c == DeadlineUnmeetable }

// FromError returns the *Error in err's chain, or nil for a nil error. An error without one
// becomes Internal with RanUnknown, because nothing is known about whether the work ran.
func FromError(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: Internal, Ran: RanUnknown, Detail: err.Error()}
}

// Lookup returns the table's row of a code. A code that is not in the table gets the row of
// Internal.
func Lookup(code Code) Info {
	for _, info := range table {
		if info.Code == code {
			return info
		}
	}
	return Lookup(Internal)
}

// Table returns a copy of the table, in ascending order of codes.
func Table() []Info {
	return append([]Info(nil), table...)
}
