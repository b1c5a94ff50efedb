package attempt

// SendOutcome is the outcome of one attempt: of sending a request to one endpoint.
type SendOutcome int

// The outcomes, from "certainly did not run" to "has run".
const (
	// NotSent: there was no connection, so no byte of the request was sent.
	NotSent SendOutcome = iota
	// NotExecuted: the endpoint answered that it did not run the request.
	NotExecuted
	// HelperFailed: the endpoint answered that it did not run the request because a
	// helper did not do its part. The request may be sent to the same endpoint again.
	HelperFailed
	// Broken: there is no complete response; the request may have run.
	Broken
	// Failed: the endpoint answered completely that it failed; the request has run.
	Failed
)

// String returns the outcome's name in logs and metrics.
func (o SendOutcome) String() string {
	return [...]string{"not_sent", "not_executed", "helper_failed", "broken", "failed"}[o]
}

// RetryAction is what to do after an attempt.
type RetryAction int

// The actions.
const (
	// Retry: send the request to an endpoint again.
	Retry RetryAction = iota
	// Refuse: the request has not run and will not; the caller may retry.
	Refuse
	// Fail: the request may have run, and the caller is told so.
	Fail
	// PassOn: answer the caller with the endpoint's own failure.
	PassOn
)

// Retrier tracks the attempts of one request. It decides whether the request may be
// retried and how the caller is answered if not. A request is retried only if it certainly
// did not run or is idempotent, and refused only if it certainly did not run.
type Retrier struct {
	// Repeatable is set if the request is idempotent and may run more than once.
	Repeatable bool
	// MaxArrivals is the number of endpoints that the request may reach.
	MaxArrivals    int
	arrivals       int
	unsent         int
	helperFailures int
	mayHaveRun     bool
}

// maxUnsent bounds the attempts that fail without a connection.
const maxUnsent = 4

// maxHelperFailures bounds how often a request is retried because a helper failed.
const maxHelperFailures = 3

// Arrivals returns how many endpoints the request has reached. Attempts that ended with
// NotSent or HelperFailed do not count.
func (r *Retrier) Arrivals() int { return r.arrivals }

// MayHaveRun returns whether the request may have run in any attempt so far.
func (r *Retrier) MayHaveRun() bool { return r.mayHaveRun }

// CanRetryAfterNext returns whether the request could still be retried if the next attempt
// ended with Broken.
func (r *Retrier) CanRetryAfterNext() bool { return r.Repeatable && r.arrivals+1 < r.MaxArrivals }

// Decide records the outcome of an attempt and returns what to do next. takeBudget takes a
// retry from the budget and returns whether there was one. It is not called for a request
// that may not be retried, or whose attempts all ended with NotSent.
func (r *Retrier) Decide(o SendOutcome, takeBudget func() bool) RetryAction {
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
	if r.mayRetry() && (r.arrivals+r.helperFailures == 0 || takeBudget()) {
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

// mayRetry returns whether the request may be sent again, apart from the retry budget.
func (r *Retrier) mayRetry() bool {
	if r.mayHaveRun && !r.Repeatable {
		return false
	}
	return r.arrivals < r.MaxArrivals && r.unsent < maxUnsent && r.helperFailures <= maxHelperFailures
}

// String returns the action's name in logs.
func (a RetryAction) String() string {
	return [...]string{"send_again", "refuse", "fail", "pass_on"}[a]
}
