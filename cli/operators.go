package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"aspenyard.example/catalogue"
	"aspenyard.example/httpcheck"
	"aspenyard.example/result"
)

// operatorAccess holds the address and the key with which an operator's command calls an
// entry.
type operatorAccess struct {
	Entry string `arg:"--entry,required" placeholder:"IP:PORT" help:"operators' address of any entry"`
	Key   string `arg:"--key,env:ASPENYARD_OPERATOR_KEY,required" placeholder:"KEY" help:"operator's key"`
}

type catalogueGet struct {
	Type string `arg:"positional,required" help:"work, account, operator, site or endpoint"`
	ID   string `arg:"positional" help:"ID of the record; without it, all records of the type"`
	operatorAccess
}

type cataloguePut struct {
	File   string        `arg:"positional,required" help:"file with one record, or with several under \"records\""`
	Expect uint64        `arg:"--expect" placeholder:"REVISION" help:"revision that the edit is based on; 0 for a new record"`
	Wait   time.Duration `arg:"--wait" placeholder:"DURATION" help:"wait until the edit is in force on all known nodes"`
	operatorAccess
}

type catalogueDelete struct {
	Type   string        `arg:"positional,required" help:"work, account, operator, site or endpoint"`
	ID     string        `arg:"positional,required" help:"ID of the record"`
	Expect uint64        `arg:"--expect,required" placeholder:"REVISION" help:"revision of the record that is to be deleted"`
	Wait   time.Duration `arg:"--wait" placeholder:"DURATION" help:"wait until the edit is in force on all known nodes"`
	operatorAccess
}

type catalogueHistory struct {
	Type string `arg:"positional,required" help:"work, account, operator, site or endpoint"`
	ID   string `arg:"positional,required" help:"ID of the record"`
	operatorAccess
}

type catalogueCommand struct {
	Get     *catalogueGet     `arg:"subcommand:get" help:"print records"`
	Put     *cataloguePut     `arg:"subcommand:put" help:"create or replace records"`
	Delete  *catalogueDelete  `arg:"subcommand:delete" help:"remove a record"`
	History *catalogueHistory `arg:"subcommand:history" help:"print the last values of a record"`
}

type statusCommand struct {
	operatorAccess
}

func (c *catalogueCommand) run(t terminal) int {
	switch {
	case c.Get != nil:
		path := "/v1/catalogue/" + c.Get.Type
		if c.Get.ID != "" {
			path += "/" + c.Get.ID
		}
		return c.Get.show(t, path)
	case c.Put != nil:
		return c.Put.run(t)
	case c.Delete != nil:
		d := c.Delete
		return d.edit(t, http.MethodDelete, d.Type, d.ID, nil, d.Expect, d.Wait)
	case c.History != nil:
		return c.History.show(t, "/v1/catalogue/"+c.History.Type+"/"+c.History.ID+"/history")
	}
	return t.failf("catalogue: missing subcommand: get, put, delete or history")
}

func (c *statusCommand) run(t terminal) int { return c.show(t, "/v1/status") }

// call sends a request to the entry and returns the HTTP status and the body. The status
// is 0 if the entry could not be reached.
func (a *operatorAccess) call(method, path string, body []byte, expect uint64) (int, []byte, error) {
	request, err := http.NewRequest(method, "http://"+a.Entry+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.WithStack(err)
	}
	request.Header.Set("Authorization", "Bearer "+a.Key)
	request.Header.Set("If-Match", strconv.FormatUint(expect, 10))
	response, err := askNode(request, time.Minute)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, errors.WithStack(err)
}

// Bounds of a node's response. The largest response is a catalogue.
const (
	maxNodeHeadBytes     = 32 << 10
	maxNodeResponseBytes = 64 << 20
)

// nodeTransport bounds the heads of nodes' responses.
var nodeTransport = &httpcheck.Transport{Base: boundedTransport()}

func boundedTransport() *http.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone() // with a proxy from the environment
	transport.MaxResponseHeaderBytes = maxNodeHeadBytes
	return transport
}

// askNode sends a request to a node's operators' port. Reading more of the response than maxNodeResponseBytes fails. Nodes state
// where their responses end, so one that ends with its connection may be a part of a response.
func askNode(request *http.Request, timeout time.Duration) (*http.Response, error) {
	client := &http.Client{Timeout: timeout, Transport: nodeTransport}
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if httpcheck.EndsWithConnection(response) {
		_ = response.Body.Close()
		return nil, errors.Errorf("%s: the response does not state its length and may be incomplete", request.URL)
	}
	response.Body = http.MaxBytesReader(nil, response.Body, maxNodeResponseBytes)
	return response, nil
}

// show prints the response to a GET request as indented JSON.
func (a *operatorAccess) show(t terminal, path string) int {
	status, data, err := a.call(http.MethodGet, path, nil, 0)
	if err != nil {
		return t.failf("%v", err)
	}
	var pretty bytes.Buffer
	if json.Indent(&pretty, data, "", "  ") != nil {
		pretty.Write(data)
	}
	if status != http.StatusOK {
		return t.failf("%s", pretty.Bytes())
	}
	fmt.Fprintln(t.out, strings.TrimSpace(pretty.String()))
	return exitOK
}

func (c *cataloguePut) run(t terminal) int {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return t.failf("%v", err)
	}
	var file catalogueFile
	if json.Unmarshal(data, &file) == nil && file.Records != nil {
		return c.putAll(t, data)
	}
	record, err := catalogue.DecodeRecord(data)
	if err != nil {
		return t.failf("%s: %v", c.File, err)
	}
	return c.edit(t, http.MethodPut, string(record.Type), record.ID, data, c.Expect, c.Wait)
}

// putAll writes the records of a file one by one and stops at the first failure. All of them
// are written with the same expected revision, which is 0 for new records.
func (c *cataloguePut) putAll(t terminal, data []byte) int {
	records, err := decodeRecords(data)
	if err != nil {
		return t.failf("%s: %v", c.File, err)
	}
	for _, record := range records {
		encoded, err := json.Marshal(record)
		if err != nil {
			return t.failf("%v", err)
		}
		if code := c.edit(t, http.MethodPut, string(record.Type), record.ID, encoded, c.Expect, c.Wait); code != exitOK {
			return code
		}
	}
	return exitOK
}

// editReply is the body of the response to an edit.
type editReply struct {
	Record *catalogue.Record `json:"record"`
	Error  *struct {
		Code    result.Code `json:"code"`
		Message string      `json:"message"`
		Ran     result.Ran  `json:"ran"`
	} `json:"error"`
}

// edit sends an edit and prints the record's new revision or, after a conflict, its current
// value.
func (a *operatorAccess) edit(t terminal, method, kind, id string, body []byte, expect uint64, wait time.Duration) int {
	path := "/v1/catalogue/" + kind + "/" + id
	status, data, err := a.call(method, path, body, expect)
	if err != nil {
		return t.failf("%v", err)
	}
	var reply editReply
	if err := json.Unmarshal(data, &reply); err != nil {
		return t.failf("unexpected response from the entry: %s", data)
	}
	switch {
	case status == http.StatusConflict:
		current, _ := json.MarshalIndent(reply.Record, "", "  ")
		fmt.Fprintf(t.out, "conflict: %s/%s has changed; current value:\n%s\n", kind, id, current)
		return exitConflict
	case status != http.StatusOK:
		return t.failf("%s/%s: %s (%d), ran %s", kind, id, reply.Error.Message, reply.Error.Code, reply.Error.Ran)
	}
	fmt.Fprintf(t.out, "%s/%s revision %d\n", kind, id, reply.Record.Revision)
	if wait > 0 {
		return a.awaitSpread(t, path, reply.Record.Revision, wait)
	}
	return exitOK
}

// spreadPollInterval is the time between two queries for the nodes that lack an edit.
const spreadPollInterval = 200 * time.Millisecond

// awaitSpread waits until the revision is in force on all known nodes. If wait passes
// before, it prints the nodes that lag behind and fails.
func (a *operatorAccess) awaitSpread(t terminal, path string, revision uint64, wait time.Duration) int {
	deadline := time.Now().Add(wait)
	for {
		lagging, total, err := a.laggingNodes(path, revision)
		if err == nil && len(lagging) == 0 {
			fmt.Fprintf(t.out, "in force on %d nodes\n", total)
			return exitOK
		}
		if time.Now().After(deadline) {
			return t.failf("not in force on %d of %d nodes: %s %v", len(lagging), total, strings.Join(lagging, ", "), err)
		}
		time.Sleep(spreadPollInterval)
	}
}

// laggingNodes returns the names of the nodes where the revision is not in force yet, and
// the number of all known nodes.
func (a *operatorAccess) laggingNodes(path string, revision uint64) (names []string, total int, err error) {
	_, data, err := a.call(http.MethodGet, fmt.Sprintf("%s/spread?revision=%d", path, revision), nil, 0)
	if err != nil {
		return nil, 0, err
	}
	var spread struct {
		Nodes []struct {
			Node    string `json:"node"`
			InForce bool   `json:"in_force"`
		} `json:"nodes"`
	}
	if err := json.Unmarshal(data, &spread); err != nil {
		return nil, 0, errors.WithStack(err)
	}
	for _, n := range spread.Nodes {
		if !n.InForce {
			names = append(names, n.Node)
		}
	}
	return names, len(spread.Nodes), nil
}
