package consul

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an odd entry of another writer that hides the whole list of VMs, or counts as a VM itself.
func TestOddEntriesOfTheListHideNoOthers(t *testing.T) {
	deep := strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)
	const sound = `{"Node":"n%d","Address":"10.0.0.%d:7000","Datacenter":"dc1","Meta":{"role":"entry","state":"running"}}`
	for name, odd := range map[string]string{
		"deeply nested":         deep,
		"deeply nested meta":    `{"Node":"odd","Address":"10.0.0.9:7000","Datacenter":"dc1","Meta":{"role":"entry","x":` + deep + `}}`,
		"deeply nested objects": `{"Node":"odd","Meta":` + strings.Repeat(`{"a":`, 50_000) + "1" + strings.Repeat("}", 50_000) + `}`,
		"number for a name":     `{"Node":5,"Address":"10.0.0.9:7000","Datacenter":"dc1","Meta":{"role":"entry"}}`,
		"number too large":      `{"Node":"odd","Address":1e400,"Datacenter":"dc1","Meta":{"role":"entry"}}`,
		"number in meta":        `{"Node":"odd","Address":"10.0.0.9:7000","Datacenter":"dc1","Meta":{"role":123456789012345678901234567890}}`,
		"port out of range":     `{"Node":"odd","Address":"10.0.0.9:70000","Datacenter":"dc1","Meta":{"role":"entry"}}`,
		"port 0":                `{"Node":"odd","Address":"10.0.0.9:0","Datacenter":"dc1","Meta":{"role":"entry"}}`,
		"no port":               `{"Node":"odd","Address":"10.0.0.9","Datacenter":"dc1","Meta":{"role":"entry"}}`,
		"any address":           `{"Node":"odd","Address":"0.0.0.0:7000","Datacenter":"dc1","Meta":{"role":"entry"}}`,
		"long name":             fmt.Sprintf(`{"Node":%q,"Address":"10.0.0.9:7000","Datacenter":"dc1","Meta":{"role":"entry"}}`, strings.Repeat("x", 60_000)),
		"no name":               `{"Address":"10.0.0.9:7000","Datacenter":"dc1","Meta":{"role":"entry"}}`,
		"null":                  `null`,
		"text":                  `"x"`,
		"list":                  `[]`,
		"another role":          `{"Node":"odd","Address":"10.0.0.9:7000","Datacenter":"dc1","Meta":{"role":"database"}}`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = fmt.Fprintf(w, "["+sound+",%s,"+sound+"]", 1, 1, odd, 2, 2)
			}))
			defer server.Close()
			vms, err := NewClient(strings.TrimPrefix(server.URL, "http://"), 5*time.Second).VMs(context.Background())
			is.NoErr(err)
			is.Equal(len(vms), 2)
			is.Equal(vms[0].Name, "n1")
			is.Equal(vms[1].Name, "n2")
		})
	}
}

// Guards against a list that counts as whole although its end is missing, where the response has no length.
func TestAListWithoutItsEndIsRefused(t *testing.T) {
	is := is.New(t)
	const list = `[{"Node":"n,1]","Tags":[],"Meta":{"a":"\\\"]"}},{"Node":"n2","Tags":[[1],[2]]} ] `
	entries, whole := splitList([]byte(list))
	is.True(whole)
	is.Equal(len(entries), 2)
	for n := range strings.LastIndexByte(list, ']') {
		if _, whole := splitList([]byte(list[:n])); whole {
			t.Errorf("the first %d bytes count as whole", n)
		}
	}
	for _, other := range []string{"", "null", "{}", "[}", "[]]", "[] []", `"[]"`} {
		if _, whole := splitList([]byte(other)); whole {
			t.Errorf("%s counts as a list", other)
		}
	}
	entries, whole = splitList([]byte(" [ ] "))
	is.True(whole && len(entries) == 0)
}

// Guards against a list of VMs that is cut off at the length of the largest value, and then cannot be read at all.
func TestTheListOfALargeFleetIsRead(t *testing.T) {
	is := is.New(t)
	const vms = 13_800
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		entries := make([]string, vms)
		for i := range entries {
			entries[i] = fmt.Sprintf(`{"Node":"entry-dar-es-salaam-%d","Address":"10.0.%d.%d:7000","Datacenter":"dar-es-salaam-a","Meta":{"role":"agent","state":"running"},"TaggedAddresses":{"lan":"10.0.0.1","wan":"10.0.0.1"},"CreateIndex":1,"ModifyIndex":1}`, i, i/250, i%250+1)
		}
		_, _ = fmt.Fprintf(w, "[%s]", strings.Join(entries, ","))
	}))
	defer server.Close()
	list, err := NewClient(strings.TrimPrefix(server.URL, "http://"), 5*time.Second).VMs(context.Background())
	is.NoErr(err)
	is.Equal(len(list), vms)
}
