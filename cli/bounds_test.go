package cli

import (
	"encoding/json"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// completeFiles holds a valid file of each kind, with all fields that hold a number, a
// duration or a size, optional ones included.
var completeFiles = map[string]string{
	"gateway": `{"name":"g","data_centre":"dc","callers_listen":"127.0.0.1:1","readiness_listen":"127.0.0.1:2","metrics_listen":"127.0.0.1:3","peers_listen":"127.0.0.1:4","store":"127.0.0.1:5",
"store_timeout":"700ms","config_within":"2s","leaving_within":"2s","drain_timeout":"10s","retry_ratio":0.1,"retry_allowance":10,"retry_window":"10s","memory_free_within":"4s","memory_idle_within":"9s","memory_limit":"256MB",
"processor_limit":0.5,"link_limit":"14Mbit","descriptor_limit":2870}`,
	"entry": `{"name":"e","data_centre":"dc","listen":"127.0.0.1:1","operators_listen":"127.0.0.1:2","platform":"127.0.0.1:3","callers_listen":"127.0.0.1:4",
"heartbeat_interval":"500ms","suspect_after":"3s","list_interval":"1s","list_lag":"30s","store_timeout":"1s","peer_timeout":"1s","drain_timeout":"60s","memory_limit":"256MB","body_limit":"16MB","connection_limit":4096,"default_deadline":"60s","deadline_limit":"30m"}`,
	"agent": `{"name":"a","data_centre":"dc","listen":"127.0.0.1:1","operators_listen":"127.0.0.1:2","platform":"127.0.0.1:3","endpoint":"127.0.0.1:4","kind":"service","services":["filing"],
"heartbeat_interval":"500ms","suspect_after":"3s","list_interval":"1s","list_lag":"30s","store_timeout":"1s","peer_timeout":"1s","drain_timeout":"60s","memory_limit":"256MB","reservation_lease":"2s","service_slots":64}`,
	"stand-in": `{"standin":"engine","listen":"127.0.0.1:1","reads_per_second":1,"writes_per_second":1,"list_lag":"1s","memory_tokens":1,"max_running":1,"chunk_tokens":1,"floor_watts":1,"max_watts":1,"time_scale":1,
"load_lag":"1s","event_lag":"1s","event_gap":1}`,
	"work":    `{"type":"work","id":"w","owner":"o","work":{"class":"urgent","model":"m","repeatable":true,"max_prompt_tokens":1,"max_output_tokens":1,"deadline":"1s","objective":{"first_token":"1s","share":0.5}}}`,
	"account": `{"type":"account","id":"a","owner":"o","account":{"key_sha256":"` + strings.Repeat("ab", 32) + `","limits":{"requests_per_second":1,"tokens_per_second":1,"concurrent":1}}}`,
	"site":    `{"type":"site","id":"s","owner":"o","site":{"power_cap_watts":1,"data_centres":["dc"]}}`,
}

var (
	isDuration = regexp.MustCompile(`^[0-9.]+(ms|s|m|h)$`)
	isBitRate  = regexp.MustCompile(`^[0-9]+[kMG]?bit$`)
	isSize     = regexp.MustCompile(`^[0-9]+[KMG]?i?B$`)
)

// outOfBoundsValues returns values that no field with a number, duration or size accepts,
// by the form of the field's valid value.
func outOfBoundsValues(value any) []any {
	switch v := value.(type) {
	case float64:
		return []any{-1, 1e15}
	case string:
		switch {
		case isDuration.MatchString(v):
			return []any{"-1s", "1000000h"}
		case isBitRate.MatchString(v):
			return []any{"-1bit", "100000Gbit", "9000000000000Gbit"}
		case isSize.MatchString(v):
			return []any{"-1B", "9000000GB", "9000000000000GB"}
		}
	}
	return nil
}

// replaceEachValue replaces the values in a file one at a time by each of its
// outOfBoundsValues, and calls try with the field's path and the value.
func replaceEachValue(path string, value any, try func(path string, value any)) {
	switch v := value.(type) {
	case map[string]any:
		for name, child := range v {
			for _, invalid := range outOfBoundsValues(child) {
				v[name] = invalid
				try(path+"."+name, invalid)
			}
			v[name] = child
			replaceEachValue(path+"."+name, child, try)
		}
	case []any:
		for _, child := range v {
			replaceEachValue(path+"[]", child, try)
		}
	}
}

// Guards against a process that starts with an absurd setting and fails later, or silently
// does nothing: an operator types a minus sign or a digit too many. Each number in each
// kind of file, examples included, must have bounds.
func TestNumbersOutOfBoundsAreRejected(t *testing.T) {
	files := map[string]string{}
	for name, text := range completeFiles {
		files[name] = text
	}
	err := filepath.WalkDir("../examples", func(path string, d fs.DirEntry, err error) error {
		if err == nil && filepath.Ext(path) == ".json" {
			data, err := os.ReadFile(path)
			files[path] = string(data)
			return err
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range files {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "file.json")
			check := func(file any) error {
				data, err := json.Marshal(file)
				is.NoErr(err)
				is.NoErr(os.WriteFile(path, data, 0o600))
				_, err = checkFile(path)
				return err
			}
			var file any
			is.NoErr(json.Unmarshal([]byte(text), &file))
			is.NoErr(check(file))
			replaceEachValue("", file, func(field string, invalid any) {
				if check(file) == nil {
					t.Errorf("%s: %v is accepted", field, invalid)
				}
			})
		})
	}
}
