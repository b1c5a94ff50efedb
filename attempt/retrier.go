package attempt

// SendOutcome is what became of sending a request to one endpoint.
type SendOutcome int

// The outcomes, from "certainly did not run" to "has run".
const (
	// NotSent: no connection stood, so no byte of the request left.
	NotSent SendOutcome = iota
	// NotExecuted: the endpoint said that it did not run the request.
	NotExecuted
	// HelperFailed: the endpoint said that it did not run the request because another
	// endpoint that was to help did not. It may be sent to the same endpoint again.
	HelperFailed
	// Broken: there is no whole answer; the request may have run.
	Broken
	// Failed: the endpoint answered whole that it failed; the request has run.
	Failed
)

// String gives the outcome's name in logs and metrics.
func (o SendOutcome) String() string {
	return [...]string{"not_sent", "not_executed", "helper_failed", "broken", "failed"}[o]
}

// RetryAction is what to do after an outcome.
type RetryAction int

// What to do next.
const (
	// Retry to another endpoint.
	Retry RetryAction = iota
	// Refuse: the request has not run and will not; the caller may come back.
	Refuse
	// Fail: the request may have run; nothing may be promised.
	Fail
	// PassOn the endpoint's own failure.
	PassOn
)

// Retrier follows one request from endpoint to endpoint. It decides whether the
// request may be sent again and what its caller may be told. Only what certainly did
// not run, or may run again, is ever sent twice; only what certainly did not run is
// refused.
type Retrier struct {
	// Repeatable requests may run more than once.
	Repeatable bool
	// MaxArrivals is how many endpoints the request may reach.
	MaxArrivals    int
	arrivals       int
	unsent         int
	helperFailures int
	mayHaveRun     bool
}

// maxUnsent bounds how many endpoints are tried that no connection reaches.
const maxUnsent = 4

// maxHelperFailures bounds how often a request is sent again because a helper failed.
const maxHelperFailures = 3

// Arrivals is how many endpoints the request has reached.
func (r *Retrier) Arrivals() int { return r.arrivals }

// MayHaveRun tells whether the request may have run.
func (r *Retrier) MayHaveRun() bool { return r.mayHaveRun }

// CanRetryAfterNext tells whether the request, once sent to the next endpoint, could still go
// on at another if that one broke off.
func (r *Retrier) CanRetryAfterNext() bool { return r.Repeatable && r.arrivals+1 < r.MaxArrivals }

// Decide decides what follows an outcome. budget is asked, and spent, only when the
// request would reach another endpoint.
func (r *Retrier) Decide(o SendOutcome, budget func() bool) RetryAction {
	switch o {
	case NotSent:
		r.unsent++
	case NotExecuted:
		r.arrivals++
	case HelperFailed:
		r.helperFailures++
	default:
		r.arrivals++
		r.mayHaveRun = true
	}
	if r.mayRetry() && (r.arrivals+r.helperFailures == 0 || budget()) {
		return Retry
	}
	switch {
	case o == Failed:
		return PassOn
	case r.mayHaveRun:
		return Fail
	}
	return Refuse
}

func (r *Retrier) mayRetry() bool {
	if r.mayHaveRun && !r.Repeatable {
		return false
	}
	return r.arrivals < r.MaxArrivals && r.unsent < maxUnsent && r.helperFailures <= maxHelperFailures
}

// String gives the step's name in logs.
func (n RetryAction) String() string {
	return [...]string{"send_again", "refuse", "fail", "pass_on"}[n]
}
