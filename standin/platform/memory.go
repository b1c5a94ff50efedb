package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// report answers GET /-/report.
func (w *Worker) report(conn net.Conn) bool {
	w.mu.Lock()
	w.reports++
	used := 0
	tickets := []map[string]any{}
	w.expire(time.Now())
	for id, r := range w.reserved {
		used += r.tokens
		tickets = append(tickets, map[string]any{"id": id, "tokens": r.tokens, "state": "held", "age_ms": 0})
	}
	data, _ := json.Marshal(map[string]any{
		"phase": "mixed", "busy": false, "seq_no": w.orders, "queued": 0, "active": w.working, "kv_used": used, "kv_total": w.MemoryTokens, "handles": 0, "pace": w.pace, "tickets": tickets,
	})
	w.mu.Unlock()
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(data), data)
	return true
}

// reservation is memory that is set aside until a time.
type reservation struct {
	tokens int
	until  time.Time
}

// orderDelay is how late an order is carried out that FaultLate holds back.
const orderDelay = 1500 * time.Millisecond

// fits tells whether the memory has room for a reservation, or holds it already.
func (w *Worker) fits(id string, tokens int) bool {
	if w.MemoryTokens == 0 {
		return true
	}
	for held, r := range w.reserved {
		if held != id {
			tokens += r.tokens
		}
	}
	return tokens <= w.MemoryTokens
}

// FreedCount counts the releases that ended a reservation.
func (w *Worker) FreedCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.freed
}

// expire ends reservations whose time has passed.
func (w *Worker) expire(now time.Time) {
	for id, r := range w.reserved {
		if now.After(r.until) {
			delete(w.reserved, id)
		}
	}
}

type orderRequest struct {
	Op     string `json:"op"`
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
	HoldMS int64  `json:"hold_ms"`
}

func (w *Worker) order(conn net.Conn, r *http.Request) bool {
	var order orderRequest
	_ = json.NewDecoder(r.Body).Decode(&order)
	_, _ = io.Copy(io.Discard, r.Body)
	if life := r.Header.Get("X-Aspenyard-Expect-Instance"); life != "" && life != w.ID {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Aspenyard-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.ID)
		return true
	}
	fault := w.takeForOrder()
	w.mu.Lock()
	w.orders++
	w.mu.Unlock()
	if fault == FaultLateOrder {
		time.AfterFunc(orderDelay, func() { w.carryOut(&order) })
		return false
	}
	status := "409 Conflict"
	if fault != FaultShed && w.carryOut(&order) {
		status = "200 OK"
	}
	if fault == FaultReset {
		return false
	}
	fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}", status)
	return true
}

// carryOut does what an order asks for; false when the memory is not free.
func (w *Worker) carryOut(order *orderRequest) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.expire(now)
	switch order.Op {
	case "reserve":
		if !w.fits(order.ID, order.Tokens) {
			return false
		}
		w.reserved[order.ID] = reservation{order.Tokens, now.Add(time.Duration(order.HoldMS) * time.Millisecond)}
	case "release":
		if _, held := w.reserved[order.ID]; held {
			w.freed++
		}
		delete(w.reserved, order.ID)
		w.released = append(w.released, order.ID)
	}
	return true
}
