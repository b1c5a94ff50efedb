package cli

import (
	"fmt"
	"time"
)

// describeState tells by what state the node that ended a request decided, where that was not the newest one: it lacked
// a configuration that another node had, did not reach the store, or was suspended. events are the lines of all nodes
// that belong to no request.
func describeState(lines, events []logLine) []string {
	first, end := &lines[0], &lines[len(lines)-1]
	if end.Event != "request_ended" {
		return nil
	}
	var output []string
	if text := describeOldConfig(first.Time, end, events); text != "" {
		output = append(output, text)
	}
	var lost, noticed, restored *logLine
	for i := range events {
		l := &events[i]
		if l.Node != end.Node || l.Time.After(end.Time) {
			continue
		}
		switch l.Event {
		case "store_lost":
			lost = l
		case "store_regained":
			lost = nil
		case "store_era":
			noticed, restored = l, nil
		case "store_restored":
			noticed, restored = nil, l
		case "suspended":
			if !l.Time.Before(first.Time) {
				output = append(output, fmt.Sprintf("%s was suspended for %s until %s after the first line", l.Node, l.milliseconds("for_ms"), l.Time.Sub(first.Time).Round(time.Millisecond)))
			}
		}
	}
	if lost != nil {
		output = append(output, fmt.Sprintf("%s had not reached the store for %s when the request ended; it knew the changes up to revision %s by itself, and later ones if another node passed them on", end.Node, end.Time.Sub(lost.Time).Round(time.Millisecond), lost.text("at")))
	}
	if text := describeEra(end, noticed, restored); text != "" {
		output = append(output, text)
	}
	return output
}

// describeEra tells by which era of the store a node decided that had noticed or read a new one; "" if it had not.
func describeEra(end, noticed, restored *logLine) string {
	switch {
	case noticed != nil:
		return fmt.Sprintf("%s decided by the state of era %s of the store: it had noticed era %s %s before the request ended, and not read its state yet", end.Node, noticed.text("before"), noticed.text("era"), end.Time.Sub(noticed.Time).Round(time.Millisecond))
	case restored != nil:
		return fmt.Sprintf("%s decided by the state of era %s of the store, which was restored from a copy; it had read that state %s before the request ended, %s revisions before what it had known", end.Node, restored.text("era"), end.Time.Sub(restored.Time).Round(time.Millisecond), restored.text("lost"))
	}
	return ""
}

// describeOldConfig tells which later configuration another node had in force before the request began, and when the
// node that ended the request had it; "" if there was none.
func describeOldConfig(began time.Time, end *logLine, events []logLine) string {
	used := end.number("config")
	var newest, own *logLine
	for i := range events {
		l := &events[i]
		if l.Event != "config_in_force" || l.number("version") <= used {
			continue
		}
		if l.Node == end.Node {
			if own == nil || l.Time.Before(own.Time) {
				own = l
			}
			continue
		}
		if l.Time.Before(began) && (newest == nil || l.number("version") > newest.number("version")) {
			newest = l
		}
	}
	if newest == nil {
		return ""
	}
	text := fmt.Sprintf("%s decided by configuration %s, although %s had version %s in force %s before the first line", end.Node, end.text("config"), newest.Node, newest.text("version"), began.Sub(newest.Time).Round(time.Millisecond))
	switch {
	case own == nil:
		return text + "; it has no later one in these logs"
	case own.Time.After(began):
		return text + fmt.Sprintf("; it had a later one %s after the first line", own.Time.Sub(began).Round(time.Millisecond))
	}
	return text + "; it had a later one too, but the request had begun by the old one"
}
