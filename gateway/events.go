package gateway

import (
	"fmt"
	"strings"
)

// Field is one field of a log line. Every line has time, level, event, node and role
// besides; lines of a request have its id as request.
type Field struct {
	// Name ends in the unit where there is one: _ms for milliseconds, _tokens.
	Name, Meaning string
}

// Event is one kind of log line.
type Event struct {
	// Name is the line's event; Level is info, warn or error.
	Name, Level string
	// Meaning says when it is written.
	Meaning string
	Fields  []Field
}

// events are all that the process writes; docs/LOGS.md is made of them.
var events = []Event{
	{"start", "info", "The process serves.", []Field{{"callers", "where callers are served"}, {"store", "the store's address"}}},
	{"reload", "info", "SIGHUP: the settings were read again and are in force.", []Field{{"retry_ratio", "repeats allowed for each request"}, {"retry_allowance", "repeats allowed besides, over all entries"}}},
	{"reload_refused", "error", "SIGHUP: the settings file has faults; the old settings stay.", []Field{{"error", "every fault"}}},
	{"drain", "info", "SIGTERM: not ready any more; requests that can still end are taken.", []Field{{"active", "requests under way"}, {"limit_ms", "time until the process is killed"}}},
	{"stop", "info", "The process ends.", []Field{{"reason", "why"}, {"active", "requests that were cut"}, {"took_ms", "since the signal"}}},
	{"stop_at_once", "warn", "An interrupt during a drain ended the process.", []Field{{"active", "requests that were cut"}}},
	{"signal_ignored", "info", "SIGTERM or SIGHUP during a drain, which goes on.", []Field{{"signal", "its name"}}},
	{"store_lost", "warn", "The store gave no answer; what is known stays in force.", []Field{{"error", "what the call met"}, {"at", "the store's revision up to which changes are known"}}},
	{"store_regained", "info", "The store answers again.", []Field{{"outage_ms", "since store_lost"}}},
	{"store_history_gone", "info", "The store dropped the history that was to be followed; the state is read anew.", []Field{{"at", "as above"}}},
	{"store_item_refused", "error", "An item of the store could not be decoded; a configuration that was known stays, an endpoint is not used until it registers again.", []Field{{"key", "its key"}, {"revision", "its revision"}, {"error", "what is wrong, with a configuration's version"}}},
	{"config_in_force", "info", "A configuration is in force here.", []Field{{"version", "its version"}, {"routes", "how many routes it has"}, {"at", "as above"}}},
	{"endpoint_listed", "info", "An endpoint registered or changed its registration.", []Field{{"endpoint", "its ID"}, {"born", "when this life of it began, in Unix milliseconds; 0: not said"}, {"service", "what it serves"}, {"revision", "of the registration"}}},
	{"endpoint_leaving", "info", "An endpoint drains; it gets nothing new.", []Field{{"endpoint", "its ID"}, {"revision", "as above"}}},
	{"endpoint_gone", "info", "An endpoint's registration ended.", []Field{{"endpoint", "its ID"}, {"revision", "as above"}}},
	{"endpoint_unreachable", "warn", "An endpoint accepts no connections; others are preferred.", []Field{{"endpoint", "its ID"}, {"reason", "what was met"}}},
	{"endpoint_reachable", "info", "It accepts connections again.", []Field{{"endpoint", "its ID"}, {"unreachable_ms", "since endpoint_unreachable"}}},
	{"endpoint_pace", "warn", "An endpoint has turned slow, or has recovered, by its own word; parts of prompts go elsewhere meanwhile.", []Field{{"endpoint", "its ID"}, {"pace", "how many times as long as described its work takes"}}},
	{"pace_unknown", "warn", "An endpoint that seems slow did not say how slow it is.", []Field{{"endpoint", "its ID"}, {"error", "what the question met"}}},
	{"quarantined", "warn", "Three endpoints crashed under copies of a request since its last answer; it is refused from now on.", []Field{{"fingerprint", "names the request"}, {"heard_from", "the entry whose word completed it, or store; empty: this one saw it itself"}}},
	{"quarantine_not_kept", "warn", "The record of a quarantine could not be left in the store; entries that all start anew will not know of it.", []Field{{"fingerprint", "names the request"}, {"error", "what the last call met"}}},
	{"quarantine_record_refused", "error", "A record in the store cannot be read as that of a quarantine.", []Field{{"name", "the record's"}, {"error", "what is wrong"}}},
	{"registered", "info", "This node is registered in the store.", []Field{{"lease", "the lease"}, {"revision", "this life's incarnation"}}},
	{"not_registered", "warn", "Registering or renewing failed; other entries may not hear of this one.", []Field{{"error", "what the call met"}}},
	{"not_deregistered", "warn", "The registration could not be ended at the stop; its lease ends it.", []Field{{"error", "what the call met"}}},
	{"heartbeats_stopped", "error", "The control loop ended; engines are divided by own requests alone.", []Field{{"error", "why"}}},
	{"memory_not_renewed", "warn", "A reservation of KV cache could not be renewed; the request may be cut off.", []Field{{"reservation", "its ID"}, {"error", "what the order met"}}},
	{"memory_lapsed", "warn", "Reservations were not renewed in time and are left; this process stood still.", []Field{{"reservation", "the first one's ID"}, {"gap_ms", "since the last renewal"}}},
	{"memory_not_released", "warn", "A reservation could not be given back; it ends by itself with its hold.", []Field{{"reservation", "its ID"}, {"error", "what the order met"}}},
	{"queue_left", "info", "A long prompt leaves the queue to be prefilled.", []Field{{"waited_ms", "since it came"}, {"expected_ms", "when its first token was expected on arrival"}, {"waiting", "long prompts that still wait here"}}},
	{"queue_refused", "info", "A long prompt is refused, as it could not be on time.", []Field{{"expected_ms", "when its first token was expected"}, {"wait_ms", "of that, for other long prompts"}, {"limit_ms", "the route's target"}, {"waited_ms", "since it came, for room at the engines"}}},
	{"capacity_refused", "info", "A prompt is refused, as it would hold up others for too long.", []Field{{"prefill_ms", "of each part"}, {"engines", "on which it would be prefilled"}, {"open", "requests open there"}, {"harmed", "how many of them would be late by the pause"}}},
	{"memory_reserved", "info", "KV cache was reserved at helpers, or not enough of it.", []Field{{"helpers", "helpers that have it"}, {"refused", "helpers that do not"}, {"tokens", "reserved in all"}, {"needed", "tokens that must be"}}},
	{"placed", "info", "An endpoint was chosen for the request.", []Field{{"endpoint", "its ID"}, {"service", "the route's service"}, {"at", "the store's revision of the list that it was chosen from"}, {"candidates", "endpoints weighed"}, {"cost_ms", "estimated delay there"}, {"prefill_ms", "estimated prefill of each part"}, {"helpers", "IDs of the engines that prefill other parts"}}},
	{"attempt_failed", "info", "Sending to an endpoint failed.", []Field{{"endpoint", "its ID"}, {"outcome", "not_sent, not_executed, helper_failed, broken or failed"}, {"arrivals", "endpoints reached so far"}, {"next", "send_again, refuse, fail or pass_on"}, {"error", "what was met"}}},
	{"endpoint_crashed", "info", "An endpoint's process ended while the request was open there.", []Field{{"endpoint", "its ID"}, {"fingerprint", "names the request, whichever copy of it this is"}, {"crashes", "lives of endpoints that ended under copies of it since its last answer, as far as known here"}}},
	{"quarantine_refused", "info", "The request is not sent: endpoints crashed under copies of it.", []Field{{"fingerprint", "as above"}, {"left_ms", "until it may be sent again"}}},
	{"caller_lost", "info", "The caller did not take its answer.", []Field{{"error", "what the write met"}}},
	{"request_ended", "info", "The request's end.", []Field{{"code", "the result code, docs/RESULT-CODES.md"}, {"took_ms", "since it came"}, {"config", "version of the configuration that it was handled by"}, {"route", "its route"}, {"endpoint", "the last endpoint"}, {"prompt_tokens", "the prompt's length"}, {"late", "no, answer, first, pause or both: which of the route's targets were missed"}, {"resumed", "whether it goes on with a stream that broke off"}, {"first_ms", "until the answer's head or first event was passed on"}, {"gap_ms", "longest pause between events"}, {"gap_end_ms", "when that pause ended, from the request's start"}, {"events", "events passed on"}, {"ran", "yes, no or unknown"}, {"detail", "why it failed"}, {"retry_after_ms", "when the caller was told to come back"}}},
}

// EventsMarkdown gives the table as docs/LOGS.md holds it.
func EventsMarkdown() string {
	var b strings.Builder
	b.WriteString("# Log lines of the gateway\n\n")
	b.WriteString("JSON lines on standard output, one for each decision that touches a request or changes what the\n")
	b.WriteString("process believes. Every line has `time`, `level`, `event`, `node` and `role`; lines of a request have\n")
	b.WriteString("its id as `request`. They are written when the request has ended: all of them or none. Requests that\n")
	b.WriteString("failed or were late are always written; of the others 20 a second. Writing never waits: 4,096 lines\n")
	b.WriteString("are buffered, and `aspenyard_gateway_log_lines_dropped_total` counts what was lost beyond them.\n\n")
	b.WriteString("| Event | Level | When | Fields |\n|---|---|---|---|\n")
	for _, e := range events {
		fields := make([]string, 0, len(e.Fields))
		for _, f := range e.Fields {
			fields = append(fields, fmt.Sprintf("`%s`: %s", f.Name, f.Meaning))
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", e.Name, e.Level, e.Meaning, strings.Join(fields, "; "))
	}
	return b.String()
}
