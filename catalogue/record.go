// Package catalogue holds the configuration that operators edit: kinds of work,
// client accounts, operators, sites and properties of endpoints. It defines the
// records, applies edits to the store, and keeps a node's replica, which accepts
// newer revisions only.
//
// The platform's store is authoritative. Records are spread over a fixed number
// of pages; each page is one value in the store and is edited by compare-and-swap.
// A page's revision rises by one with each edit and is stored in the page itself,
// so that an outdated copy is recognised whatever its source: a peer, a lagging
// read replica or the store itself.
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

// Type is the type of a record.
type Type string

// The types of records.
const (
	TypeWork     Type = "work"
	TypeAccount  Type = "account"
	TypeOperator Type = "operator"
	TypeSite     Type = "site"
	TypeEndpoint Type = "endpoint"
)

// Types returns all record types.
func Types() []Type {
	return []Type{TypeWork, TypeAccount, TypeOperator, TypeSite, TypeEndpoint}
}

// Record is one record of the catalogue. Of Work, Account, Operator, Site and
// Endpoint, exactly the one that Type names is set, and none in a deleted record.
type Record struct {
	Type  Type   `json:"type"`
	ID    string `json:"id"`
	Owner string `json:"owner"`

	Work     *Work     `json:"work,omitempty"`
	Account  *Account  `json:"account,omitempty"`
	Operator *Operator `json:"operator,omitempty"`
	Site     *Site     `json:"site,omitempty"`
	Endpoint *Endpoint `json:"endpoint,omitempty"`

	// Revision is the revision that the page got with the record's last edit; 0 in a
	// record that is not stored yet.
	Revision uint64 `json:"revision,omitempty"`
	// EditID identifies the last edit. If the store's response to a write is lost, the
	// editing node reads the record back and compares the ID.
	EditID string `json:"edit_id,omitempty"`
	// EditedBy is the operator who made the last edit, EditedAt its time.
	EditedBy string    `json:"edited_by,omitempty"`
	EditedAt time.Time `json:"edited_at,omitzero"`
	// Deleted marks a removed record. The record is kept as a tombstone, so that an
	// older copy from a peer cannot restore it.
	Deleted bool `json:"deleted,omitempty"`
}

// Work describes a kind of work: which model or service handles its requests, and
// within which limits.
type Work struct {
	// Class is "urgent", "normal" or "bulk".
	Class string `json:"class"`
	// Model is the model, or Service the plain service, that handles the requests.
	Model   string `json:"model,omitempty"`
	Service string `json:"service,omitempty"`
	// Repeatable is false for requests that may run at most once.
	Repeatable bool `json:"repeatable"`
	// MaxPromptTokens and MaxOutputTokens bound a single request; 0 means no bound.
	MaxPromptTokens int `json:"max_prompt_tokens,omitempty"`
	MaxOutputTokens int `json:"max_output_tokens,omitempty"`
	// Deadline applies if the caller sends none; 0 means the entry's default.
	Deadline settings.Duration `json:"deadline,omitempty"`
	// Objective is the service-level objective that reports measure against; nil if
	// there is none.
	Objective *Objective `json:"objective,omitempty"`
}

// Objective is a service-level objective for the time to first token.
type Objective struct {
	// FirstToken is the longest time to first token of a request that counts as good.
	FirstToken settings.Duration `json:"first_token"`
	// Share is the fraction of requests that should be good, between 0 and 1.
	Share float64 `json:"share"`
}

// Account is a client account: its credentials and limits.
type Account struct {
	// KeySHA256 is the SHA-256 hash of the account's key, in hex.
	KeySHA256 string `json:"key_sha256"`
	Limits    Limits `json:"limits"`
}

// Limits bound an account's requests over all entries together; 0 means no bound.
type Limits struct {
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	TokensPerSecond   float64 `json:"tokens_per_second,omitempty"`
	Concurrent        int     `json:"concurrent,omitempty"`
}

// Operator is a person or program that may edit the catalogue.
type Operator struct {
	// KeySHA256 is the SHA-256 hash of the operator's key, in hex.
	KeySHA256 string `json:"key_sha256"`
}

// Site is a group of data centres that share one power cap.
type Site struct {
	// PowerCapWatts is the most power that the site's endpoints may draw together.
	PowerCapWatts uint64 `json:"power_cap_watts"`
	// DataCentres lists the data centres of the site.
	DataCentres []string `json:"data_centres"`
}

// Endpoint holds properties of an endpoint that only operators know.
type Endpoint struct {
	// ChecksFencing tells whether the endpoint refuses requests with an outdated
	// fencing number.
	ChecksFencing bool `json:"checks_fencing"`
}

// Key returns the key that identifies the record in the catalogue.
func (r *Record) Key() string { return Key(r.Type, r.ID) }

// Key returns the key of the record with a type and an ID.
func Key(t Type, id string) string { return string(t) + "/" + id }

// PageCount is the number of pages. With 48,000 accounts, a page holds 1,500
// records and stays well below the store's limit of one megabyte for a value.
const PageCount = 32

// PageOf returns the number of the page that holds a key.
func PageOf(key string) int {
	return int(xxhash.Sum64String(key) % PageCount)
}

// classes maps the values of Work.Class to admission classes.
var classes = map[string]admission.Class{
	"urgent": admission.Urgent, "normal": admission.Normal, "bulk": admission.Bulk,
}

// AdmissionClass returns the admission class of the kind of work.
func (w *Work) AdmissionClass() admission.Class { return classes[w.Class] }

// DecodeRecord decodes and validates a record as operators write it. Unknown fields
// are errors. The error is always of type settings.FieldErrors.
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

// Check validates the record and returns all errors found.
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
			fieldErrs.Add(string(body.name), body.set, "exactly the field that type names")
		}
	}
	if len(fieldErrs) > 0 {
		return fieldErrs
	}
	return r.checkBody()
}

// checkBody validates the field that the record's type names.
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
			fieldErrs.Add("work.repeatable", w.Repeatable, "true for a model; only calls of a plain service may be not repeatable")
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

// Upper bounds of an account's limits and of a site's power cap. They are far above
// the largest planned deployment, so that only typing errors are rejected.
const (
	maxRate       = 1_000_000_000
	maxConcurrent = 10_000_000
	maxWatts      = 1_000_000_000
)

// checkRate validates a limit per second; 0 means no limit.
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

// checkHash validates a SHA-256 hash in hex.
func checkHash(fieldErrs *settings.FieldErrors, field, hash string) {
	if decoded, err := hex.DecodeString(hash); err != nil || len(decoded) != 32 {
		fieldErrs.Add(field, hash, "64 hexadecimal digits")
	}
}
