// Package result defines the numbered codes that every answer carries, and
// the error type that takes them from the place of a failure to the caller.
//
// One table serves the code, the callers' interface and docs/RESULT-CODES.md,
// so that an operator can look up any number found in a log.
package result

import (
	"errors"
	"fmt"
	"time"
)

// Code is a stable number for one kind of outcome. Numbers are never reused.
type Code int

// The codes. 1xxx: done; 2xxx: the request is at fault; 3xxx: refused before
// anything ran; 4xxx: failed after admission; 5xxx: a fault of the system. 3009
// was given up before the first release.
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

	DeadlineExceeded Code = 4001
	OutcomeUnknown   Code = 4002
	EndpointFailed   Code = 4003
	Cancelled        Code = 4004
	ServiceFailed    Code = 4005
	RetryBudget      Code = 4006

	Internal Code = 5001
)

// Ran tells whether the work was carried out.
type Ran string

// RanNo is said only when it is certain that the work did not and will not
// run; RanUnknown when nobody who could know can be asked.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Info is one row of the table of codes.
type Info struct {
	Code Code
	// Name is the stable identifier in logs and error bodies.
	Name string
	// HTTPStatus is what the callers' interface answers with.
	HTTPStatus int
	// Meaning says what happened.
	Meaning string
	// Action says what the caller or operator does about it.
	Action string
}

// Error is a failure with its code. Ran and RetryAfter are told to the caller.
type Error struct {
	Code Code
	Ran  Ran
	// RetryAfter is how long to wait before asking again; zero: no advice.
	RetryAfter time.Duration
	// Deferral is set when an agent puts the request before later ones if it
	// comes back after RetryAfter.
	Deferral bool
	Detail   string
}

// Error gives the code's name, number and detail.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%d): %s", Lookup(e.Code).Name, e.Code, e.Detail)
}

// Refuse makes an error for work that certainly did not run.
func Refuse(code Code, retryAfter time.Duration, format string, args ...any) *Error {
	return &Error{Code: code, Ran: RanNo, RetryAfter: retryAfter, Detail: fmt.Sprintf(format, args...)}
}

// Fail makes an error for admitted work, with what is known of its run.
func Fail(code Code, ran Ran, format string, args ...any) *Error {
	return &Error{Code: code, Ran: ran, Detail: fmt.Sprintf(format, args...)}
}

// Refusal tells whether a code says that the request was refused before anything
// of it ran.
func (c Code) Refusal() bool { return c >= RateLimited && c < DeadlineExceeded }

// Busy tells whether a code says that an endpoint has too much work, so that
// coming back later may help.
func (c Code) Busy() bool { return c == Overloaded || c == DeadlineUnmeetable }

// FromError finds the *Error in a chain; any other error becomes Internal with an
// unknown run, because nothing may be claimed about it.
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

// Lookup gives the table's row for a code; an unlisted one is shown as Internal.
func Lookup(code Code) Info {
	for _, info := range table {
		if info.Code == code {
			return info
		}
	}
	return Lookup(Internal)
}

// Table lists every code in ascending order.
func Table() []Info {
	return append([]Info(nil), table...)
}
