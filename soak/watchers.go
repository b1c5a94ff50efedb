package soak

import (
	"bufio"
	"strings"
	"sync"
)

// kindWatchers is the kind of fault that disturbs the gateways from which the others take the store's changes.
const kindWatchers = "watchers-disturbed"

// metricWatching is the metric of a gateway that says whether it watches the store for others.
const metricWatching = "aspenyard_gateway_watching"

// disturbWatchers kills, suspends or cuts off from the store, by variant, all gateways that watch the store
// for others, at the same moment. The others have to follow the store within the same bounds.
func disturbWatchers(h *harness, f *Fault) {
	disturb := []func(*harness, *Fault){
		func(h *harness, f *Fault) { h.gateways[f.Gateway].kill(h.record) },
		freezeGateway,
		func(h *harness, f *Fault) {
			g := h.gateways[f.Gateway]
			defer h.record.beginDisturbance(Disturbance{Kind: f.Kind, Gateway: g.name})()
			disturbLink(g.store, f)
		},
	}[f.Variant-1]
	var watchers sync.WaitGroup
	for i, g := range h.gateways {
		if h.watches(g) {
			own := *f
			own.Gateway = i
			watchers.Go(func() { disturb(h, &own) })
		}
	}
	watchers.Wait()
}

// watches reports whether a gateway watches the store for others, by its metrics.
func (h *harness) watches(g *gateway) bool {
	response, err := h.client.Get("http://" + g.addrs["metrics"] + "/metrics")
	if err != nil {
		return false // it is ending or starting
	}
	defer func() { _ = response.Body.Close() }()
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if value, found := strings.CutPrefix(lines.Text(), metricWatching+" "); found {
			return value == "1"
		}
	}
	return false
}
