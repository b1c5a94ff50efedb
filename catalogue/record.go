// Package catalogue is what operators edit: kinds of work, client accounts,
// operators, sites and facts about endpoints. It holds the records, the edits,
// and a replica that only moves forward.
//
// The platform's store is the authority. Records are spread over a fixed number
// of pages, each one value in the store, edited by compare-and-swap. A page's
// revision rises by one with each edit and stands inside the page, so that an
// old copy is known as old wherever it comes from: a peer, a lagging reader or
// the store itself.
package catalogue

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"aspenyard.example/admission"
	"aspenyard.example/settings"
)

// Type says what a record describes.
type Type string

// The types of records.
const (
	TypeWork     Type = "work"
	TypeAccount  Type = "account"
	TypeOperator Type = "operator"
	TypeSite     Type = "site"
	TypeEndpoint Type = "endpoint"
)

// Types lists all types.
func Types() []Type {
	return []Type{TypeWork, TypeAccount, TypeOperator, TypeSite, TypeEndpoint}
}

// Record is one entry of the catalogue. Exactly the part that its Type names is set.
type Record struct {
	Type  Type   `json:"type"`
	ID    string `json:"id"`
	Owner string `json:"owner"`

	Work     *Work     `json:"work,omitempty"`
	Account  *Account  `json:"account,omitempty"`
	Operator *Operator `json:"operator,omitempty"`
	Site     *Site     `json:"site,omitempty"`
	Endpoint *Endpoint `json:"endpoint,omitempty"`

	// Revision is the page's revision of the last edit; 0 in a new record.
	Revision uint64 `json:"revision,omitempty"`
	// EditID identifies the edit, so that a lost answer is settled by reading back.
	EditID string `json:"edit_id,omitempty"`
	// EditedBy and EditedAt say who made the edit and when.
	EditedBy string    `json:"edited_by,omitempty"`
	EditedAt time.Time `json:"edited_at,omitzero"`
	// Deleted marks a record that was removed. It stays, so that a peer's older
	// copy cannot bring the record back.
	Deleted bool `json:"deleted,omitempty"`
}

// Work is a kind of work.
type Work struct {
	// Class is "urgent", "normal" or "bulk".
	Class string `json:"class"`
	// Model or Service names what serves it.
	Model   string `json:"model,omitempty"`
	Service string `json:"service,omitempty"`
	// Repeatable is false for calls that may run at most once.
	Repeatable bool `json:"repeatable"`
	// MaxPromptTokens and MaxOutputTokens bound one request; 0: no bound.
	MaxPromptTokens int `json:"max_prompt_tokens,omitempty"`
	MaxOutputTokens int `json:"max_output_tokens,omitempty"`
	// Deadline is used when the caller sends none; 0: the entry's default.
	Deadline settings.Duration `json:"deadline,omitempty"`
	// Objective is what the service-level report measures against.
	Objective *Objective `json:"objective,omitempty"`
}

// Objective is a service-level objective for the time to first token.
type Objective struct {
	// FirstToken is the time within which a request counts as good.
	FirstToken settings.Duration `json:"first_token"`
	// Share is the part of requests that should be good, between 0 and 1.
	Share float64 `json:"share"`
}

// Account is a client account.
type Account struct {
	// KeySHA256 is the hex hash of the account's key.
	KeySHA256 string `json:"key_sha256"`
	Limits    Limits `json:"limits"`
}

// Limits bound an account over all entries; 0: no bound.
type Limits struct {
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	TokensPerSecond   float64 `json:"tokens_per_second,omitempty"`
	Concurrent        int     `json:"concurrent,omitempty"`
}

// Operator is somebody who may edit the catalogue.
type Operator struct {
	KeySHA256 string `json:"key_sha256"`
}

// Site is what shares one power cap.
type Site struct {
	// PowerCapWatts is the most that the site's endpoints may draw together.
	PowerCapWatts uint64 `json:"power_cap_watts"`
	// DataCentres lists the data centres of the site.
	DataCentres []string `json:"data_centres"`
}

// Endpoint holds what operators know of an endpoint.
type Endpoint struct {
	// ChecksFencing says that the endpoint refuses orders with an old fencing number.
	ChecksFencing bool `json:"checks_fencing"`
}

// Key identifies the record in the catalogue.
func (r *Record) Key() string { return Key(r.Type, r.ID) }

// Key joins a type and an id.
func Key(t Type, id string) string { return string(t) + "/" + id }

// PageCount is the number of pages: at 48,000 accounts a page holds 1,500
// records, well under the store's megabyte.
const PageCount = 32

// PageOf gives the page of a key.
func PageOf(key string) int {
	return int(xxhash.Sum64String(key) % PageCount)
}

// classes maps the names of the classes.
var classes = map[string]admission.Class{
	"urgent": admission.Urgent, "normal": admission.Normal, "bulk": admission.Bulk,
}

// AdmissionClass gives the class that a kind of work names.
func (w *Work) AdmissionClass() admission.Class { return classes[w.Class] }

// DecodeRecord reads a record as operators write it, refusing unknown fields,
// and checks it.
func DecodeRecord(data []byte) (*Record, error) {
	var record Record
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&record); err != nil {
		return nil, settings.FieldErrors{{Value: err.Error(), Allowed: "one catalogue record, see docs/SETTINGS.md"}}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, settings.FieldErrors{{Value: "text after the record", Allowed: "one catalogue record"}}
	}
	if fieldErrs := record.Check(); len(fieldErrs) > 0 {
		return nil, fieldErrs
	}
	return &record, nil
}

// Check returns every fault of the record.
func (r *Record) Check() settings.FieldErrors {
	var fieldErrs settings.FieldErrors
	if !slices.Contains(Types(), r.Type) {
		fieldErrs.Add("type", r.Type, "work, account, operator, site or endpoint")
	}
	fieldErrs.CheckName("id", r.ID)
	fieldErrs.CheckName("owner", r.Owner)
	if r.Deleted {
		return fieldErrs
	}
	bodies := []struct {
		name Type
		set  bool
	}{
		{TypeWork, r.Work != nil}, {TypeAccount, r.Account != nil}, {TypeOperator, r.Operator != nil},
		{TypeSite, r.Site != nil}, {TypeEndpoint, r.Endpoint != nil},
	}
	for _, body := range bodies {
		if body.set != (body.name == r.Type) {
			fieldErrs.Add(string(body.name), body.set, "exactly the part that type names")
		}
	}
	if len(fieldErrs) > 0 {
		return fieldErrs
	}
	return r.checkBody()
}

func (r *Record) checkBody() settings.FieldErrors {
	switch r.Type {
	case TypeWork:
		return r.Work.check()
	case TypeAccount:
		return r.Account.check()
	case TypeOperator:
		var fieldErrs settings.FieldErrors
		checkHash(&fieldErrs, "operator.key_sha256", r.Operator.KeySHA256)
		return fieldErrs
	case TypeSite:
		return r.Site.check()
	}
	return nil
}

func (w *Work) check() settings.FieldErrors {
	var fieldErrs settings.FieldErrors
	if _, found := classes[w.Class]; !found {
		fieldErrs.Add("work.class", w.Class, "urgent, normal or bulk")
	}
	if (w.Model == "") == (w.Service == "") {
		fieldErrs.Add("work.model", w.Model, "either model or service, not both")
	}
	if w.Model != "" {
		fieldErrs.CheckName("work.model", w.Model)
		if !w.Repeatable {
			fieldErrs.Add("work.repeatable", w.Repeatable, "true for a model; only a service's calls may be not repeatable")
		}
	}
	if w.Service != "" {
		fieldErrs.CheckName("work.service", w.Service)
	}
	fieldErrs.CheckInt("work.max_prompt_tokens", int64(w.MaxPromptTokens), 0, 10_000_000)
	fieldErrs.CheckInt("work.max_output_tokens", int64(w.MaxOutputTokens), 0, 1_000_000)
	fieldErrs.CheckRange("work.deadline", w.Deadline.D(), 0, 24*time.Hour)
	if o := w.Objective; o != nil {
		fieldErrs.CheckRange("work.objective.first_token", o.FirstToken.D(), time.Millisecond, time.Hour)
		if o.Share <= 0 || o.Share >= 1 {
			fieldErrs.Add("work.objective.share", o.Share, "above 0 and below 1")
		}
	}
	return fieldErrs
}

func (a *Account) check() settings.FieldErrors {
	var fieldErrs settings.FieldErrors
	checkHash(&fieldErrs, "account.key_sha256", a.KeySHA256)
	checkRate(&fieldErrs, "account.limits.requests_per_second", a.Limits.RequestsPerSecond)
	checkRate(&fieldErrs, "account.limits.tokens_per_second", a.Limits.TokensPerSecond)
	fieldErrs.CheckInt("account.limits.concurrent", int64(a.Limits.Concurrent), 0, maxConcurrent)
	return fieldErrs
}

// Bounds of an account's limits and a site's power: far above the largest deployment
// that is planned for, so that only a slip of the hand is refused.
const (
	maxRate       = 1_000_000_000
	maxConcurrent = 10_000_000
	maxWatts      = 1_000_000_000
)

// checkRate checks a limit of so many a second; 0: no limit.
func checkRate(fieldErrs *settings.FieldErrors, field string, rate float64) {
	if rate < 0 || rate > maxRate {
		fieldErrs.Add(field, rate, "0 to 1000000000")
	}
}

func (s *Site) check() settings.FieldErrors {
	var fieldErrs settings.FieldErrors
	fieldErrs.CheckInt("site.power_cap_watts", int64(s.PowerCapWatts), 1, maxWatts)
	if len(s.DataCentres) == 0 {
		fieldErrs.Add("site.data_centres", s.DataCentres, "at least one")
	}
	for _, name := range s.DataCentres {
		fieldErrs.CheckName("site.data_centres", name)
	}
	return fieldErrs
}

func checkHash(fieldErrs *settings.FieldErrors, field, hash string) {
	if decoded, err := hex.DecodeString(hash); err != nil || len(decoded) != 32 {
		fieldErrs.Add(field, hash, "64 hexadecimal digits")
	}
}
