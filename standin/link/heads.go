package link

import "bytes"

// HeadChange makes the head of a response one that HTTP does not allow.
type HeadChange struct {
	// Status replaces the version and the status code of the status line; "" for none.
	Status string
	// Field is a further line of the head, without its end; "" for none.
	Field string
}

// InvalidHeads are changes after which a head is not allowed, however lenient its recipient.
func InvalidHeads() []HeadChange {
	changes := []HeadChange{{Status: "HTTP/1.1 000"}, {Status: "HTTP/1.1 999"}, {Status: "HTTP/1.1 101"}, {Status: "HTTP/2.0 200"}}
	for _, name := range []string{"X Blank", "X-Blank ", "X\tTab", "X-\x01-Control", "X-\x7f-Delete", "X-(Separator)", "Content-Length ", "Transfer-Encoding "} {
		changes = append(changes, HeadChange{Field: name + ": 1"})
	}
	return changes
}

// ChangeHeads makes the link change the heads of responses from the target; the zero value ends that.
func (l *Link) ChangeHeads(change HeadChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.headChange = change
}

// changeHead returns bytes from the target with a changed head, if they begin with one.
func (l *Link) changeHead(p []byte) []byte {
	l.mu.Lock()
	change := l.headChange
	l.mu.Unlock()
	status, rest, whole := bytes.Cut(p, []byte("\r\n"))
	if change == (HeadChange{}) || !whole || !bytes.HasPrefix(status, []byte("HTTP/1.1 ")) {
		return p
	}
	if change.Status != "" {
		status = []byte(change.Status + " Odd")
	}
	changed := append(bytes.Clone(status), "\r\n"...)
	if change.Field != "" {
		changed = append(changed, change.Field+"\r\n"...)
	}
	return append(changed, rest...)
}
