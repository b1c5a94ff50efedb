package soak

import (
	"fmt"
	"time"

	"aspenyard.example/directory"
	"aspenyard.example/standin/platform"
)

const (
	kindSlowStoreLinks     = "slow-store-links"
	slowLinkBytesPerSecond = 1_750_000 // 14 Mbit/s
	// largeConfigRoutes is how many routes more a large configuration has. Its transfer takes a fraction of the bound.
	largeConfigRoutes = 2000
)

// slowStoreLinks puts every second gateway behind a slow link to the store, and writes large configurations in quick
// succession. It is no disturbance: gateways must keep up with it.
func slowStoreLinks(h *harness, f *Fault) {
	for i, g := range h.gateways {
		if i%2 == f.Gateway%2 {
			g.store.SetBandwidth(slowLinkBytesPerSecond)
			defer g.store.SetBandwidth(0)
		}
	}
	h.largeConfigs.Add(1)
	for end := time.Now().Add(f.Duration); time.Now().Before(end) && h.ctx.Err() == nil; {
		h.writeConfig()
		sleep(h.ctx, max(f.Delay, maxDelay/4))
	}
	h.largeConfigs.Add(-1)
	h.writeConfig()
	sleep(h.ctx, time.Second) // until the last large one is transferred
}

// appendLargeConfigRoutes adds routes that no caller uses.
func appendLargeConfigRoutes(c *platform.Config) {
	for i := range largeConfigRoutes {
		name := fmt.Sprintf("unused-%06d", i)
		c.Routes = append(c.Routes, platform.Route{Name: name, Host: host, Prefix: "/" + name + "/", Kind: directory.Idempotent.String(), Service: serviceApp, Timeout: time.Second, MaxAttempts: 1})
	}
}
