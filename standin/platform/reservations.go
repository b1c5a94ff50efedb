package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"time"
)

// serveReport answers GET /-/report. It returns true: the connection stays open.
func (w *Worker) serveReport(conn net.Conn) bool {
	w.mu.Lock()
	w.reportCount++
	used := 0
	reservations := []map[string]any{}
	w.expireReservations(time.Now())
	for id, r := range w.reservations {
		used += r.tokens
		reservations = append(reservations, map[string]any{"id": id, "tokens": r.tokens, "state": "held", "age_ms": 0})
	}
	data, _ := json.Marshal(map[string]any{
		"phase": "mixed", "busy": false, "seq_no": w.orderCount, "queued": 0, "active": w.inFlight, "kv_used": used, "kv_total": w.MemoryTokens, "handles": 0, "pace": w.slowdown, "tickets": reservations,
	})
	w.mu.Unlock()
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n%s", w.statements(), len(data), data)
	return true
}

// reservation is an amount of KV cache that is reserved until expiresAt.
type reservation struct {
	tokens    int
	expiresAt time.Time
}

// lateOrderDelay is the time after which a worker applies an order under FaultLateOrder.
const lateOrderDelay = 1500 * time.Millisecond

// fitsMemory returns true if a reservation fits in the KV cache beside the others. A
// reservation of the same ID is replaced and does not count.
func (w *Worker) fitsMemory(id string, tokens int) bool {
	if w.MemoryTokens == 0 {
		return true
	}
	for held, r := range w.reservations {
		if held != id {
			tokens += r.tokens
		}
	}
	return tokens <= w.MemoryTokens
}

// FreedCount is the number of release orders that ended a reservation.
func (w *Worker) FreedCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.freedCount
}

// Granted reports whether a reservation was ever made.
func (w *Worker) Granted(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.granted[id]
}

// Unreleased returns the number of reservations for which no release order has come.
func (w *Worker) Unreleased() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := len(w.granted)
	for id := range w.granted {
		if slices.Contains(w.releasedIDs, id) {
			n--
		}
	}
	return n
}

// expireReservations deletes the reservations whose time has passed.
func (w *Worker) expireReservations(now time.Time) {
	for id, r := range w.reservations {
		if now.After(r.expiresAt) {
			delete(w.reservations, id)
		}
	}
}

type orderRequest struct {
	Op     string `json:"op"`
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
	HoldMS int64  `json:"hold_ms"`
}

func (w *Worker) serveOrder(conn net.Conn, r *http.Request) bool {
	var order orderRequest
	_ = json.NewDecoder(r.Body).Decode(&order)
	_, _ = io.Copy(io.Discard, r.Body)
	if expectedID := r.Header.Get("X-Aspenyard-Expect-Instance"); expectedID != "" && expectedID != w.ID {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Aspenyard-Instance-Id: %s\r\n%sContent-Length: 0\r\n\r\n", w.ID, w.statements())
		return true
	}
	fault := w.nextOrderFault()
	w.mu.Lock()
	w.orderCount++
	w.mu.Unlock()
	if fault == FaultLateOrder || fault == FaultSilentOrder {
		time.AfterFunc(lateOrderDelay, func() { w.applyOrder(&order) })
		if fault == FaultSilentOrder {
			_, _ = io.Copy(io.Discard, conn) // until the caller closes the connection
		}
		return false
	}
	if w.OnOrder != nil {
		w.OnOrder()
	}
	status := "409 Conflict"
	if fault != FaultShed && w.applyOrder(&order) {
		status = "200 OK"
	}
	if fault == FaultReset {
		return false
	}
	if cut, ok := cutOf(fault); ok {
		return w.writeCut(conn, cut, cut.Form.render(r.Method, w.statements(), []string{"{}"}), nil)
	}
	fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Type: application/json\r\n%sContent-Length: 2\r\n\r\n{}", status, w.statements())
	return true
}

// applyOrder applies an order. It returns false if the KV cache for a reservation is not
// free.
func (w *Worker) applyOrder(order *orderRequest) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.expireReservations(now)
	switch order.Op {
	case "reserve":
		if !w.fitsMemory(order.ID, order.Tokens) {
			return false
		}
		w.granted[order.ID] = true
		w.reservations[order.ID] = reservation{order.Tokens, now.Add(time.Duration(order.HoldMS) * time.Millisecond)}
	case "release":
		if _, held := w.reservations[order.ID]; held {
			w.freedCount++
		}
		delete(w.reservations, order.ID)
		w.releasedIDs = append(w.releasedIDs, order.ID)
	}
	return true
}
