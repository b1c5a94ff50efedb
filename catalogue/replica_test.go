package catalogue

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"aspenyard.example/infra"
)

// workRecord returns a valid record of a kind of work.
func workRecord(id string, tokens int) *Record {
	return &Record{Type: TypeWork, ID: id, Owner: "ops", Work: &Work{Class: "bulk", Model: "m", Repeatable: true, MaxOutputTokens: tokens}}
}

// fakeStore is an in-memory store with the failures that matter to an edit.
type fakeStore struct {
	values       map[string]infra.Value
	lastRevision uint64
	// lostResponses is the number of writes, from now on, that take effect but whose
	// response is lost.
	lostResponses int
	// beforeWrite runs once, before the next write and so after the read that it is
	// based on.
	beforeWrite func()
	// down makes all reads fail.
	down bool
}

func newFakeStore() *fakeStore { return &fakeStore{values: map[string]infra.Value{}} }

func (s *fakeStore) Get(_ context.Context, key string) (infra.Value, error) {
	if s.down {
		return infra.Value{}, infra.ErrUnavailable
	}
	return s.values[key], nil
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, data []byte, revision uint64) error {
	if race := s.beforeWrite; race != nil {
		s.beforeWrite = nil
		race()
	}
	if s.values[key].Revision != revision {
		return infra.ErrConflict
	}
	s.lastRevision++
	s.values[key] = infra.Value{Key: key, Data: data, Revision: s.lastRevision}
	if s.lostResponses > 0 {
		s.lostResponses--
		return infra.ErrOutcomeUnknown
	}
	return nil
}

func (s *fakeStore) Watch(ctx context.Context, key string, _ uint64, _ time.Duration) (infra.Value, error) {
	return s.Get(ctx, key)
}

// put applies an edit that sets the limit of output tokens of a kind of work.
func put(store *fakeStore, id string, tokens int, expect uint64) (Result, error) {
	return Apply(context.Background(), store, Edit{Record: workRecord(id, tokens), Expect: expect, ID: fmt.Sprint(id, tokens), By: "ops"}, 0)
}

// Guards against an edit that is applied twice, or reported as failed though it was
// applied: the store applies the edit, its response is lost, and the edit is retried
// without reading the record back.
func TestLostResponseIsResolvedByReadingBack(t *testing.T) {
	is := is.New(t)
	store := newFakeStore()
	store.lostResponses = 1
	result, err := put(store, "a", 1, 0)
	is.NoErr(err)
	is.Equal(result.Page.Revision, uint64(1)) // the edit was applied once
	is.Equal(result.Current.Work.MaxOutputTokens, 1)
}

// Guards against an edit that silently overwrites another operator's: both read the
// same record, both write, and only the revision of the page is compared, not that of
// the record.
func TestRacingEditsOfOneRecordConflict(t *testing.T) {
	is := is.New(t)
	store := newFakeStore()
	first, err := put(store, "a", 1, 0)
	is.NoErr(err)
	store.beforeWrite = func() {
		_, err := put(store, "a", 2, first.Current.Revision)
		is.NoErr(err)
	}
	second, err := put(store, "a", 3, first.Current.Revision)
	is.True(errors.Is(err, ErrConflict))
	is.Equal(second.Current.Work.MaxOutputTokens, 2) // the result holds the current value
}

func TestEditsOfDifferentRecordsDoNotConflict(t *testing.T) {
	is := is.New(t)
	store := newFakeStore()
	sibling := ""
	for i := 0; sibling == ""; i++ {
		if id := fmt.Sprint("s", i); PageOf(Key(TypeWork, id)) == PageOf(Key(TypeWork, "a")) {
			sibling = id
		}
	}
	store.beforeWrite = func() {
		_, err := put(store, sibling, 7, 0)
		is.NoErr(err)
	}
	result, err := put(store, "a", 1, 0)
	is.NoErr(err)
	is.Equal(len(result.Page.Records), 2) // the page holds both records
}

// Guards against the loss of accepted edits: the store returns an outdated page, and
// an edit is applied on top of it though the node has a newer revision.
func TestStalePageIsNotEdited(t *testing.T) {
	is := is.New(t)
	store := newFakeStore()
	_, err := put(store, "a", 1, 0)
	is.NoErr(err)
	_, err = Apply(context.Background(), store, Edit{Record: workRecord("b", 1), ID: "x"}, 99)
	is.True(errors.Is(err, ErrStalePage))
}

func TestReplicaIgnoresOlderRevisions(t *testing.T) {
	is := is.New(t)
	replica := NewReplica()
	newer := *workRecord("a", 2)
	newer.Revision = 2
	page := PageOf(newer.Key())
	is.True(replica.Apply(Change{Page: page, Revision: 2, Records: []*Record{&newer}}))
	older := *workRecord("a", 1)
	older.Revision = 1
	is.True(!replica.Apply(Change{Page: page, Revision: 1, Records: []*Record{&older}}))
	is.Equal(replica.View().Get(TypeWork, "a").Work.MaxOutputTokens, 2)
	is.Equal(replica.StaleChanges, uint64(1))
}

// TestReplicasAgainstModel edits records in a store while nodes exchange changes in
// any order, with outdated and duplicate changes and with nodes that are replaced. The
// revision of a record must never decrease on a node, and after a full exchange all
// nodes must hold the same revisions.
func TestReplicasAgainstModel(t *testing.T) {
	ids := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		store := newFakeStore()
		nodes := []*Replica{NewReplica(), NewReplica(), NewReplica()}
		lastRevision := make([]map[string]uint64, len(nodes))
		for i := range lastRevision {
			lastRevision[i] = map[string]uint64{}
		}
		var delayed []Change // changes that may be applied later or again
		node := func(t *rapid.T) int { return rapid.IntRange(0, len(nodes)-1).Draw(t, "node") }
		t.Repeat(map[string]func(*rapid.T){
			"edit": func(t *rapid.T) {
				id := rapid.SampledFrom(ids).Draw(t, "id")
				page, err := DecodePage(store.values[PageKey(PageOf(Key(TypeWork, id)))].Data)
				if err != nil {
					t.Fatal(err)
				}
				expect := uint64(0)
				if old := page.Records[Key(TypeWork, id)]; old != nil && !old.Deleted {
					expect = old.Revision
				}
				record := workRecord(id, rapid.IntRange(1, 9).Draw(t, "value"))
				record.Deleted = rapid.IntRange(0, 4).Draw(t, "delete") == 0
				store.lostResponses = rapid.IntRange(0, 1).Draw(t, "lose")
				if _, err := Apply(context.Background(), store, Edit{Record: record, Expect: expect, ID: fmt.Sprint(store.lastRevision)}, 0); err != nil {
					t.Fatal(err)
				}
			},
			"read the store": func(t *rapid.T) {
				number := PageOf(Key(TypeWork, rapid.SampledFrom(ids).Draw(t, "id")))
				page, err := DecodePage(store.values[PageKey(number)].Data)
				if err != nil {
					t.Fatal(err)
				}
				change := Change{Page: number, Revision: page.Revision}
				for _, record := range page.Records {
					change.Records = append(change.Records, record)
				}
				delayed = append(delayed, change)
				nodes[node(t)].Apply(change)
			},
			"pull": func(t *rapid.T) {
				to, from := nodes[node(t)], nodes[node(t)]
				for _, change := range from.View().ChangesSince(to.View().Revisions()) {
					to.Apply(change)
				}
			},
			"outdated page arrives": func(t *rapid.T) {
				if len(delayed) > 0 {
					nodes[node(t)].Apply(rapid.SampledFrom(delayed).Draw(t, "change"))
				}
			},
			"replace": func(t *rapid.T) {
				if i := node(t); rapid.IntRange(0, 9).Draw(t, "chance") == 0 {
					nodes[i], lastRevision[i] = NewReplica(), map[string]uint64{}
				}
			},
			"": func(t *rapid.T) {
				for i, n := range nodes {
					for _, change := range n.View().ChangesSince(nil) {
						for _, record := range change.Records {
							if record.Revision < lastRevision[i][record.ID] {
								t.Fatalf("node %d: revision of %s decreased", i, record.ID)
							}
							lastRevision[i][record.ID] = record.Revision
						}
					}
				}
			},
		})
		for range nodes {
			for _, to := range nodes {
				for _, from := range nodes {
					for _, change := range from.View().ChangesSince(to.View().Revisions()) {
						to.Apply(change)
					}
				}
			}
		}
		sum, hash := nodes[0].View().Digest()
		for _, n := range nodes[1:] {
			if s, h := n.View().Digest(); s != sum || h != hash {
				t.Fatal("nodes differ after a full exchange")
			}
		}
	})
}

func TestAccountByKey(t *testing.T) {
	is := is.New(t)
	replica := NewReplica()
	record := &Record{Type: TypeAccount, ID: "crew", Owner: "ops", Revision: 1, Account: &Account{KeySHA256: HashKey("crew.secret")}}
	replica.Apply(Change{Page: PageOf(record.Key()), Revision: 1, Records: []*Record{record}})
	is.True(replica.View().AccountByKey("crew.secret") != nil)
	for _, key := range []string{"", "crew", "crew.wrong", "other.secret", "crew.secret.more"} {
		is.True(replica.View().AccountByKey(key) == nil)
	}
}

const validWork = `{"type":"work","id":"line-plan","owner":"ops","work":{"class":"urgent","model":"m","repeatable":true}}`

func TestRecordErrorsNameTheirField(t *testing.T) {
	cases := []struct{ name, from, to, want string }{
		{"type", `"type":"work"`, `"type":"task"`, `"type"`},
		{"id", "line-plan", "Line Plan", `"id"`},
		{"class", `"urgent"`, `"now"`, `"work.class"`},
		{"neither model nor service", `"model":"m",`, ``, `"work.model"`},
		{"model and service", `"model":"m"`, `"model":"m","service":"s"`, `"work.model"`},
		{"model not repeatable", `true`, `false`, `"work.repeatable"`},
		{"negative bound", `"model":"m"`, `"model":"m","max_output_tokens":-1`, `"work.max_output_tokens"`},
		{"objective", `"model":"m"`, `"model":"m","objective":{"first_token":"1s","share":1.5}`, `"work.objective.share"`},
		{"unknown field", `"model":"m"`, `"model":"m","colour":1`, `colour`},
		{"field of another type", `"work":{`, `"site":{"power_cap_watts":1,"data_centres":["d"]},"work":{`, `"site"`},
		{"trailing", `}}`, `}} x`, `after the record`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := DecodeRecord([]byte(strings.Replace(validWork, c.from, c.to, 1)))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want)) // the error names the field
		})
	}
}

func TestNegativeLimitsAreRejected(t *testing.T) {
	for _, limits := range []string{`"requests_per_second":-1`, `"tokens_per_second":-0.5`, `"concurrent":-3`} {
		is := is.New(t)
		field := strings.Trim(strings.Split(limits, ":")[0], `"`)
		_, err := DecodeRecord([]byte(`{"type":"account","id":"a","owner":"o","account":{"key_sha256":"` + HashKey("k") + `","limits":{` + limits + `}}}`))
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), "account.limits."+field))
	}
}

func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(validWork))
	f.Add([]byte(`{"type":"site","id":"port","owner":"ops","site":{"power_cap_watts":1,"data_centres":["d"]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := DecodeRecord(data)
		if err == nil && len(record.Check()) != 0 {
			t.Fatal("a decoded record does not pass Check")
		}
	})
}

// Guards against a crash of all nodes at once: a page in the store holds a null record
// or one without the field that its type names, and readers dereference that field.
// Found by review of the inputs that FuzzDecodePage allows.
func TestPageWithInvalidRecordIsRejected(t *testing.T) {
	for _, page := range []string{
		`{"revision":3,"records":{"work/a":null}}`,
		`{"revision":3,"records":{"work/a":{"type":"work","id":"a","owner":"o"}}}`,
		`{"revision":3,"records":{"work/b":` + validWork + `}}`,
	} {
		is := is.New(t)
		_, err := DecodePage([]byte(page))
		is.True(err != nil)
	}
}

func FuzzDecodePage(f *testing.F) {
	f.Add([]byte(`{"revision":3,"records":{"work/line-plan":` + validWork + `}}`))
	f.Add([]byte(`{"revision":3,"records":{"work/a":null}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		page, err := DecodePage(data)
		if err != nil {
			return
		}
		replica := NewReplica()
		replica.ApplyPage(0, page)
		for _, record := range replica.View().List(TypeWork) {
			record.Work.AdmissionClass()
		}
	})
}
