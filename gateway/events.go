package gateway

import (
	"fmt"
	"strings"
)

// Field describes one field of a log line. In addition every line has time, level, event, node and
// role, and lines of a request have the request's ID as request.
type Field struct {
	// Name ends in the unit if the field has one: _ms for milliseconds, _tokens for tokens.
	Name, Meaning string
}

// Event describes one kind of log line.
type Event struct {
	// Name is the value of the line's event field. Level is info, warn or error.
	Name, Level string
	// Meaning says when the line is written.
	Meaning string
	Fields  []Field
}

// events lists every log line that the gateway writes. docs/LOGS.md is generated from it.
var events = []Event{
	{"start", "info", "The process has started to serve.", []Field{{"callers", "address on which callers are served"}, {"store", "address of the store"}}},
	{"reload", "info", "SIGHUP: the settings were reloaded and are in force.", []Field{{"retry_ratio", "retries allowed per request"}, {"retry_allowance", "further retries allowed, over all entries"}}},
	{"reload_refused", "error", "SIGHUP: the settings file is invalid; the old settings stay in force.", []Field{{"error", "all faults of the file"}}},
	{"drain", "info", "SIGTERM: the process is no longer ready; it still accepts requests that can end in time.", []Field{{"active", "requests in flight"}, {"limit_ms", "time until the process is killed"}}},
	{"stop", "info", "The process ends.", []Field{{"reason", "why it ends"}, {"active", "requests that were cut off"}, {"took_ms", "time since the signal"}}},
	{"stop_at_once", "warn", "An interrupt during a drain ended the process.", []Field{{"active", "requests that were cut off"}}},
	{"signal_ignored", "info", "SIGTERM or SIGHUP arrived during a drain; the drain continues.", []Field{{"signal", "name of the signal"}}},
	{"state_read", "info", "The state was read at the start.", []Field{{"from", "checkpoint, stale_lists or lists"}, {"at", "store revision of what was read"}, {"era", "era of the store; 0 if it states none"}, {"endpoints", "endpoints in it"}, {"took_ms", "duration of the calls"}}},
	{"checkpoint_not_written", "warn", "No checkpoint was written for entries that start.", []Field{{"result", "failed or too_large"}, {"error", "what failed"}}},
	{"checkpoint_refused", "warn", "The checkpoint in the store could not be decoded; all items are read.", []Field{{"bytes", "length of the checkpoint"}, {"error", "what is wrong"}}},
	{"store_lost", "warn", "A call to the store failed; the last known state stays in force.", []Field{{"error", "error of the call"}, {"at", "store revision up to which changes are known"}}},
	{"store_regained", "info", "The state is current again after store_lost: the store answers, or another entry passes on its changes.", []Field{{"outage_ms", "time since store_lost"}, {"heard_from", "the entry, or store"}}},
	{"store_item_not_read", "warn", "The value of an item, which entries pass on without it, could not be read; the store is asked for all changes.", []Field{{"key", "key of the item"}, {"error", "error of the call"}}},
	{"store_history_gone", "info", "The store no longer has the history that the watch needs; the state is read in full.", []Field{{"at", "store revision up to which changes are known"}, {"era", "era of the store; 0 if it states none"}}},
	{"state_outdated", "warn", "The state was read in full, and the store is at an earlier revision than what is known here; it was ignored.", []Field{{"at", "store revision of what was read"}, {"known", "store revision up to which changes are known"}, {"era", "era of the store; 0 if it states none"}}},
	{"store_item_refused", "error", "An item in the store could not be decoded. A known configuration stays in force; an endpoint is not used until it registers again.", []Field{{"key", "key of the item"}, {"revision", "revision of the item"}, {"error", "what is wrong; for a configuration, with its version"}}},
	{"config_in_force", "info", "A new configuration is in force at this node.", []Field{{"version", "version of the configuration"}, {"routes", "number of its routes"}, {"at", "store revision up to which changes are known"}}},
	{"unknown_region", "warn", "A route or client account allows a region that no data centre of the settings is in. The restriction is in force. Logged once while configurations name the region.", []Field{{"region", "name of the region"}, {"allowed_by", "first route or account that names it"}, {"version", "version of the configuration"}}},
	{"endpoint_listed", "info", "An endpoint registered or changed its registration.", []Field{{"endpoint", "ID of the endpoint"}, {"born", "start of this incarnation in Unix milliseconds; 0 if not reported"}, {"service", "service that it serves"}, {"revision", "store revision of the registration"}}},
	{"endpoint_leaving", "info", "An endpoint drains; it gets no new requests.", []Field{{"endpoint", "ID of the endpoint"}, {"revision", "store revision of the registration"}}},
	{"endpoint_gone", "info", "An endpoint's registration ended.", []Field{{"endpoint", "ID of the endpoint"}, {"revision", "store revision of the change"}}},
	{"evacuation", "warn", "The operator evacuates a data centre; its endpoints are sent nothing more.", []Field{{"data_centre", "name of the data centre"}, {"revision", "store revision of the operator's request"}, {"endpoints", "endpoints of the data centre that are registered and do not leave"}, {"heard_from", "entry that reported it, or store"}}},
	{"evacuation_ended", "info", "The evacuation of a data centre has ended; requests return to its endpoints gradually.", []Field{{"data_centre", "name of the data centre"}, {"revision", "store revision at which it has ended"}, {"endpoints", "endpoints of the data centre that are registered and do not leave"}, {"heard_from", "entry that reported it, or store"}}},
	{"endpoint_unreachable", "warn", "An endpoint accepts no connections; others are preferred.", []Field{{"endpoint", "ID of the endpoint"}, {"reason", "error of the connection attempt"}}},
	{"endpoint_reachable", "info", "An unreachable endpoint accepts connections again.", []Field{{"endpoint", "ID of the endpoint"}, {"unreachable_ms", "time since endpoint_unreachable"}}},
	{"endpoint_limit", "warn", "An endpoint states in its responses how many requests per second it takes from all entries together.", []Field{{"endpoint", "ID of the endpoint"}, {"limit", "requests per second"}, {"header", "name of the response header that states it; empty if another entry reported it"}, {"heard_from", "entry that reported it; empty if this entry heard it from the endpoint"}}},
	{"endpoint_limit_ended", "info", "An endpoint no longer states a limit.", []Field{{"endpoint", "ID of the endpoint"}, {"limit", "requests per second that it stated before"}, {"heard_from", "entry that reported it; empty if this entry heard it from the endpoint"}}},
	{"endpoint_limit_refused", "error", "An endpoint states a limit that is not a number of at least 0, or two different ones; what was known before stays in force.", []Field{{"endpoint", "ID of the endpoint"}, {"header", "name of the response header"}, {"value", "its value"}}},
	{"endpoint_states_leaving", "info", "An endpoint states in a response that it leaves; it gets no new requests.", []Field{{"endpoint", "ID of the endpoint"}, {"header", "name of the response header that states it; empty if another entry reported it"}, {"heard_from", "entry that reported it; empty if this entry heard it from the endpoint"}}},
	{"endpoint_backoff", "info", "An endpoint refused a request and states for how long it wants none from this entry.", []Field{{"endpoint", "ID of the endpoint"}, {"backoff_ms", "time that it states"}, {"value", "value of the response header"}}},
	{"endpoint_statement_refused", "error", "An endpoint makes a statement that cannot be parsed, or two different ones; what was known before stays in force.", []Field{{"endpoint", "ID of the endpoint"}, {"statement", "leaving, backoff or cold"}, {"header", "name of the response header"}, {"value", "its value"}}},
	{"endpoint_cold", "info", "An endpoint warms up; all entries together send it no more requests than it tolerates meanwhile.", []Field{{"endpoint", "ID of the endpoint"}, {"left_ms", "how long it still warms up"}, {"heard_from", "entry that reported it; empty if the endpoint's registration or a response says so"}}},
	{"endpoint_warm", "info", "An endpoint has warmed up.", []Field{{"endpoint", "ID of the endpoint"}}},
	{"cold_time_bounded", "warn", "An endpoint states a longer warm-up than what counts.", []Field{{"endpoint", "ID of the endpoint"}, {"left_ms", "time that it states"}, {"used_ms", "time that counts"}}},
	{"endpoint_pace", "warn", "An endpoint reports that it has become slow or has recovered; while it is slow, parts of prompts go to other engines.", []Field{{"endpoint", "ID of the endpoint"}, {"pace", "duration of its work as a multiple of the described duration"}}},
	{"pace_unknown", "warn", "An endpoint that seems slow did not report its slowdown.", []Field{{"endpoint", "ID of the endpoint"}, {"error", "error of the query"}}},
	{"engine_division", "info", "The number of a service's engines that are reserved for short prompts has changed by a quarter of the engines or more since it was last logged, as the mix of lengths has changed.", []Field{{"service", "name of the service"}, {"short", "engines reserved for short prompts"}, {"engines", "engines of the service"}, {"before", "engines reserved for short prompts when it was last logged"}}},
	{"quarantined", "warn", "Three endpoints crashed while they ran copies of a request since its last complete response, and no part of prompts explains it; the request is refused from now on.", []Field{{"fingerprint", "fingerprint of the request"}, {"heard_from", "entry whose report completed the evidence, or store; empty if this entry observed it"}}},
	{"quarantine_not_kept", "warn", "The quarantine record could not be written to the store; if all entries restart, they will not know of the quarantine.", []Field{{"fingerprint", "fingerprint of the request, or name of the record of a part of prompts"}, {"error", "error of the last call"}}},
	{"quarantine_record_refused", "error", "A quarantine record in the store could not be decoded.", []Field{{"name", "name of the record"}, {"error", "what is wrong"}}},
	{"part_quarantined", "warn", "Endpoints crashed while they ran requests with a part of their prompts, and no other part explains it; prompts with the part are refused from now on.", []Field{{"part", "identifier of the part at its service"}, {"crashes", "incarnations of endpoints that crashed under it, as far as known here"}, {"heard_from", "entry whose report completed the evidence, or store; empty if this entry observed it"}}},
	{"part_cleared", "info", "Prompts with the part are no longer refused: a request with it was answered, or another part explains the crashes. The end of its hour is not logged.", []Field{{"part", "identifier of the part at its service"}, {"heard_from", "entry whose report was decisive, or store; empty if this entry observed it"}}},
	{"capacity_scarce", "warn", "Callers ask more of a service's engines than they can do; requests are admitted by priority.", []Field{{"service", "name of the service"}, {"resource", "what callers ask most of in proportion to what there is, `time` of engines or `memory` of their KV caches"}, {"capacity", "what is given out of it, in milliseconds of one engine a second over all entries"}, {"demand", "what callers ask for, in the same unit"}}},
	{"capacity_sufficient", "info", "The engines of a service can do all that callers ask for; all requests are admitted.", []Field{{"service", "name of the service"}, {"resource", "what callers ask most of in proportion to what there is, `time` of engines or `memory` of their KV caches"}, {"capacity", "what is given out of it, in milliseconds of one engine a second over all entries"}, {"demand", "what callers ask for, in the same unit"}}},
	{"registered", "info", "This node is registered in the store.", []Field{{"lease", "ID of the lease"}, {"revision", "store revision of the registration; the first one is the process's incarnation"}}},
	{"not_registered", "warn", "Registering or renewing the registration failed; other entries may not know of this one.", []Field{{"error", "error of the call"}}},
	{"not_deregistered", "warn", "The registration could not be deleted at shutdown; it ends with its lease.", []Field{{"error", "error of the call"}}},
	{"heartbeats_stopped", "error", "The heartbeat loop ended; engines are divided between short and long prompts by this entry's own requests alone.", []Field{{"error", "why it ended"}}},
	{"view_received", "info", "This entry has started and uses the view of another one of the load from all entries until it has heard from them.", []Field{{"from", "entry that sent the view"}, {"engines", "engines in it"}, {"entries", "number of entries whose reports are in its sums"}, {"age_ms", "age of the oldest report in it"}}},
	{"view_refused", "warn", "A view of another entry has impossible values and is ignored.", []Field{{"from", "entry that sent the view"}, {"engines", "engines in it"}, {"entries", "number of entries whose reports are in its sums"}}},
	{"memory_not_renewed", "warn", "A KV cache reservation could not be renewed; the request may be cut off.", []Field{{"reservation", "ID of the reservation"}, {"error", "error of the call"}}},
	{"suspended", "warn", "This process did not run for a while: it or its host was suspended.", []Field{{"for_ms", "how long it did not run"}}},
	{"memory_lapsed", "warn", "Reservations were not renewed in time and are given up, because this process was suspended.", []Field{{"reservation", "ID of the first reservation"}, {"gap_ms", "time since the last renewal"}}},
	{"memory_not_released", "warn", "A reservation could not be released; it expires by itself.", []Field{{"reservation", "ID of the reservation"}, {"error", "error of the call"}}},
	{"length_preferred", "info", "A long prompt may wait although its first token will be late, because prompts of its length are served much less often than others of the route.", []Field{{"expected_ms", "estimated time to its first token"}, {"limit_ms", "target of the route"}}},
	{"queue_left", "info", "A long prompt leaves the queue to be prefilled.", []Field{{"waited_ms", "time since the request arrived"}, {"expected_ms", "time to its first token, as estimated on arrival"}, {"waiting", "long prompts that still wait at this node"}}},
	{"queue_refused", "info", "A long prompt is refused because its first token would be late.", []Field{{"expected_ms", "estimated time to its first token"}, {"wait_ms", "part of it that is spent on other long prompts"}, {"limit_ms", "target of the route"}, {"waited_ms", "time since the request arrived"}}},
	{"capacity_refused", "info", "A prompt is refused because its prefill would delay too many other requests. A long prompt has waited for their end, as long as its first token could be in time.", []Field{{"prefill_ms", "prefill time of each part"}, {"engines", "engines that would prefill it"}, {"open", "requests in flight at those engines"}, {"harmed", "of those, requests that the pause would make late"}}},
	{"memory_reserved", "info", "KV cache was reserved at helpers, or too little of it.", []Field{{"helpers", "helpers that reserved it"}, {"refused", "helpers that did not"}, {"tokens", "tokens reserved in total"}, {"needed", "tokens that must be reserved"}}},
	{"placed", "info", "An endpoint was selected for the request.", []Field{{"endpoint", "ID of the endpoint"}, {"service", "service of the route"}, {"at", "store revision of the snapshot from which it was selected"}, {"candidates", "endpoints considered"}, {"cost_ms", "estimated delay at the endpoint"}, {"prefill_ms", "estimated prefill time of each part"}, {"helpers", "IDs of the engines that prefill other parts"}}},
	{"sent_to_limited", "info", "The request is sent to an endpoint that states a limit.", []Field{{"endpoint", "ID of the endpoint"}}},
	{"sent_to_cold", "info", "The request is sent to an endpoint that warms up, or names such a helper; it uses this entry's share of what they tolerate.", []Field{{"endpoint", "ID of the endpoint"}, {"helpers", "number of helpers"}}},
	{"attempt_failed", "info", "An attempt at an endpoint failed.", []Field{{"endpoint", "ID of the endpoint"}, {"outcome", "not_sent, not_executed, helper_failed, broken or failed"}, {"arrivals", "endpoints that the request has reached"}, {"next", "send_again, refuse, fail or pass_on"}, {"error", "error of the attempt"}}},
	{"endpoint_crashed", "info", "An endpoint's process ended while the request was in flight there.", []Field{{"endpoint", "ID of the endpoint"}, {"fingerprint", "fingerprint of the request; the same for all of its copies"}, {"crashes", "incarnations of endpoints that ended while they ran copies of it since its last answer, as far as known here"}, {"parts", "parts of the prompt that other prompts may share"}}},
	{"limit_refused", "info", "The request is refused because all endpoints of its service state limits, and what these allow this entry is used up.", []Field{{"service", "service of the route"}, {"endpoints", "endpoints whose limits are used up or kept for more urgent requests"}, {"priority", "urgency of the request; 0 is the most urgent"}}},
	{"backoff_refused", "info", "The request is refused because all endpoints of its service want no requests for a time.", []Field{{"service", "service of the route"}, {"endpoints", "endpoints in backoff"}, {"priority", "priority of the request; the callers of less urgent ones are told to come back later"}, {"retry_after_ms", "when the caller is told to come back"}}},
	{"evacuated_refused", "info", "The request is refused because all endpoints of its service that take requests are in data centres that are evacuated.", []Field{{"service", "service of the route"}, {"endpoints", "endpoints of the service that are evacuated"}, {"data_centres", "names of the evacuated data centres"}}},
	{"not_admitted", "info", "The request is refused because the engines have too little capacity for all requests and others are more urgent.", []Field{{"service", "service of the route"}, {"tier", "rank of the request: 16 times the priority of the client account, or of the route where the account has none, plus the priority of the route"}, {"share", "share of such requests that is admitted"}, {"resource", "what callers ask most of, `time` of engines or `memory` of their KV caches"}, {"offered", "load of this tier and the more urgent ones, in milliseconds of one engine a second over all entries"}, {"capacity", "what is given out to all tiers, in the same unit"}}},
	{"cold_refused", "info", "The request is refused because all endpoints of its service that are left warm up, or may do so, and this entry's share of what they tolerate is used up.", []Field{{"service", "service of the route"}, {"endpoints", "endpoints whose shares are used up or kept for more urgent requests"}, {"priority", "priority of the request; the callers of less urgent ones are told to come back later"}, {"retry_after_ms", "when the caller is told to come back"}}},
	{"no_endpoint", "info", "The request is refused because no endpoint of its service takes requests.", []Field{{"service", "service of the route"}, {"leaving", "endpoints of the service that are registered and leave"}}},
	{"return_recognised", "info", "The caller was refused before and told when to return; the request has precedence if it is on time.", []Field{{"state", "early, on_time or expired"}, {"left_ms", "time until it is due; 0 unless it is early"}}},
	{"return_promised", "info", "The caller of a refused request is told when to return.", []Field{{"cause", "outage, busy, capacity, stated (by endpoints) or entry (this entry is full)"}, {"tier", "urgency of the request: 16 times the client account's priority plus the route's; 0 is the most urgent"}, {"earliest_ms", "earliest time at which the cause may end"}, {"retry_after_ms", "time that the caller is told"}}},
	{"regions_refused", "info", "The request is refused because its service has endpoints, but none in a region that the route and the client account allow.", []Field{{"service", "service of the route"}, {"allowed", "regions that the route and the account allow"}, {"endpoints", "endpoints of the service in other regions"}}},
	{"entry_pressed", "warn", "More is asked of a resource of this entry than it has. New requests are refused by urgency for lack of processor time or link capacity, connections of callers for lack of descriptors or memory.", []Field{{"resource", "processor, link_received, link_sent, descriptors or memory"}, {"pressure", "what is asked for, as a multiple of what there is"}}},
	{"entry_relieved", "info", "The pressure of a resource has ended.", []Field{{"resource", "as in entry_pressed"}, {"pressure", "what is asked for, as a multiple of what there is"}}},
	{"entry_not_measured", "warn", "The use of a resource of this entry cannot be measured; it refuses no requests until it can. Logged for the first failure in a row.", []Field{{"resource", "processor or descriptors"}, {"error", "error of the measurement"}}},
	{"entry_full", "info", "The request is refused because the entry itself lacks a resource for it; another entry may have it.", []Field{{"resource", "as in entry_pressed"}, {"pressure", "what is asked for, as a multiple of what there is; absent for bytes that would be held"}, {"bytes", "size of the body, as announced or as far as it has arrived; 0 if the body is not the reason"}, {"held_bytes", "bytes that are held"}, {"bound_bytes", "bytes that may be held at most; less urgent requests and large bodies are refused earlier"}, {"rank", "0 for the most urgent requests of the configuration, 1 for the least urgent"}}},
	{"caller_cut", "info", "The connection of a caller that reads or sends too slowly was ended.", []Field{{"request", "ID of the request"}, {"reason", "bound: no more bytes may be held for it; stalled: it took nothing for half of the request's time limit; late: it has not taken everything by that time after the deadline; others: its bytes are needed for another response"}, {"unwritten_bytes", "size of its backlog"}, {"held_bytes", "bytes that are held for all callers"}}},
	{"quarantine_refused", "info", "The request is not sent because endpoints crashed while they ran copies of it.", []Field{{"fingerprint", "fingerprint of the request"}, {"left_ms", "remaining time of the quarantine"}}},
	{"part_refused", "info", "The request is not sent because endpoints crashed under a part of its prompt.", []Field{{"part", "identifier of the part at its service"}, {"name", "name that the caller gives the part"}, {"left_ms", "time for which the part remains refused"}}},
	{"part_tried", "info", "The request is sent once although its prompt has a part under which endpoints crashed, to find out whether the part is the cause.", []Field{{"part", "identifier of the part at its service"}}},
	{"caller_lost", "info", "Writing the response to the caller failed.", []Field{{"error", "error of the write"}}},
	{"request_ended", "info", "The request ended.", []Field{{"code", "result code, see docs/RESULT-CODES.md"}, {"took_ms", "time since the request arrived"}, {"config", "version of the configuration that was applied"}, {"route", "name of the route"}, {"endpoint", "ID of the last endpoint"}, {"prompt_tokens", "length of the prompt"}, {"late", "which targets of the route were missed: no, answer, first, pause or both"}, {"resumed", "whether the request resumes a stream that broke off"}, {"first_ms", "time until the response's head or first event was sent to the caller"}, {"gap_ms", "longest pause between events"}, {"gap_end_ms", "end of that pause, from the request's arrival"}, {"events", "events sent to the caller"}, {"ran", "yes, no or unknown"}, {"detail", "why the request failed"}, {"retry_after_ms", "Retry-After value sent to the caller"}}},
}

// EventsMarkdown returns the contents of docs/LOGS.md.
func EventsMarkdown() string {
	var b strings.Builder
	b.WriteString("# Log lines of the gateway\n\nFor operators.\n\n")
	b.WriteString("The gateway writes JSON lines to standard output, one for each decision about a request and for each\n")
	b.WriteString("change of its own state. Every line has `time`, `level`, `event`, `node` and `role`; lines of a request\n")
	b.WriteString("have its ID as `request`. The lines of a request are written when it has ended, either all or none.\n")
	b.WriteString("Requests that failed or were late are always logged; of the others, 20 a second. Logging never blocks:\n")
	b.WriteString("4,096 lines are buffered, and `aspenyard_gateway_log_lines_dropped_total` counts lines beyond that.\n\n")
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
