package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"aspenyard.example/admission"
	"aspenyard.example/catalogue"
	"aspenyard.example/result"
)

// Headers of the callers' API.
const (
	headerDeadline       = "X-Request-Deadline"
	headerRequestID      = "X-Request-Id"
	headerResultCode     = "X-Result-Code"
	headerRan            = "X-Ran"
	headerIdempotencyKey = "Idempotency-Key"
	headerFirstAttempt   = "X-First-Attempt"
)

// call is one caller's request while the entry handles it.
type call struct {
	id      string
	account *catalogue.Record
	kind    *catalogue.Record
	// idempotencyKey is the caller's Idempotency-Key header, "" for none.
	idempotencyKey string
	// firstAttempt is set when the caller states that it has not sent a request with
	// this idempotency key before.
	firstAttempt bool
	deadline     time.Time
	startedAt    time.Time
	// firstTokenAt is when the first output token was sent to the caller; zero if none
	// was.
	firstTokenAt time.Time
	promptTokens int
	outputTokens int
	attempts     uint32
	// retryPaid is set when the retry budget has already paid for the next attempt.
	retryPaid bool
}

func (c *call) class() admission.Class { return c.kind.Work.AdmissionClass() }

func (c *call) remaining() time.Duration { return time.Until(c.deadline) }

func newID() string {
	var id [12]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// maxIdempotencyKeyLength is the longest idempotency key accepted, in bytes.
const maxIdempotencyKeyLength = 256

// prepareCall makes the call of an HTTP request: it authenticates the client account,
// looks up the kind of work and sets the deadline. unknownKind is the code with which
// an unknown kind is refused. The call is never nil, so that a refusal can be written.
func (e *Entry) prepareCall(r *http.Request, kind string, unknownKind result.Code) (*call, *result.Error) {
	c := &call{id: newID(), startedAt: time.Now(), idempotencyKey: r.Header.Get(headerIdempotencyKey), firstAttempt: r.Header.Get(headerFirstAttempt) == "true"}
	if !e.catalogue.Ready() {
		return c, result.Refuse(result.NotReady, time.Second, "this entry has not loaded the catalogue yet")
	}
	view := e.catalogue.View()
	var refusal *result.Error
	if c.account, refusal = authenticate(r, view); refusal != nil {
		return c, refusal
	}
	if len(c.idempotencyKey) > maxIdempotencyKeyLength {
		return c, result.Refuse(result.BadField, 0, "%s is longer than %d bytes", headerIdempotencyKey, maxIdempotencyKeyLength)
	}
	c.kind = view.Get(catalogue.TypeWork, kind)
	if c.kind == nil {
		return c, result.Refuse(unknownKind, 0, "the catalogue has no kind of work %q", kind)
	}
	limit := e.settings.DefaultDeadline.D()
	if c.kind.Work.Deadline > 0 {
		limit = c.kind.Work.Deadline.D()
	}
	if text := r.Header.Get(headerDeadline); text != "" {
		requested, err := time.ParseDuration(text)
		if err != nil || requested <= 0 || requested > e.settings.DeadlineLimit.D() {
			return c, result.Refuse(result.BadDeadline, 0, "%s is %q; it must be a positive duration with a unit, such as 30s, of at most %s", headerDeadline, text, e.settings.DeadlineLimit.D())
		}
		limit = requested
	}
	c.deadline = c.startedAt.Add(limit)
	return c, nil
}

// authenticate returns the client account whose API key the request carries.
func authenticate(r *http.Request, view *catalogue.View) (*catalogue.Record, *result.Error) {
	key := bearerKey(r)
	if key == "" {
		return nil, result.Refuse(result.NoKey, 0, "the request has no Authorization header with a bearer key")
	}
	account := view.AccountByKey(key)
	if account == nil {
		return nil, result.Refuse(result.WrongKey, 0, "no client account has this key")
	}
	return account, nil
}

// bearerKey returns the bearer key of the Authorization header, "" for none.
func bearerKey(r *http.Request) string {
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return ""
	}
	return strings.TrimSpace(key)
}

// admit checks the call against its client account's limits and counts it. After
// success, limiter.Done must be called when the call has ended.
func (e *Entry) admit(c *call) *result.Error {
	limits := c.account.Account.Limits
	if !e.canServe(time.Duration(c.outputTokens) * shortTokenTime) {
		return refuseLeaving()
	}
	return e.limiter.Admit(time.Now(), c.account.ID, admission.Limits{
		RequestsPerSecond: limits.RequestsPerSecond, TokensPerSecond: limits.TokensPerSecond, Concurrent: limits.Concurrent,
	}, e.lending.share(c.account.ID), c.promptTokens+c.outputTokens)
}

// finishCall logs an ended call, updates the metrics and remembers the result for status
// lookups. failure is nil for a call that succeeded.
func (e *Entry) finishCall(c *call, failure *result.Error) {
	code, ran := result.OK, result.RanYes
	if failure != nil {
		code, ran = failure.Code, failure.Ran
	}
	account, kind := "", ""
	if c.account != nil {
		account = c.account.ID
	}
	if c.kind != nil {
		kind = c.kind.ID
	}
	fields := []zap.Field{
		zap.String("request", c.id), zap.String("account", account), zap.String("kind", kind), zap.Int("code", int(code)),
		zap.String("ran", string(ran)), zap.Uint32("attempts", c.attempts), zap.Duration("took", time.Since(c.startedAt)),
		zap.Int("prompt_tokens", c.promptTokens),
	}
	if failure != nil {
		fields = append(fields, zap.String("detail", failure.Detail))
	}
	e.log.Info("request ended", fields...)
	e.observeCall(c, code)
	e.recent.add(c, code, ran)
}

// withDeadline returns a context that ends at the call's deadline.
func (c *call) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithDeadline(ctx, c.deadline)
}
