package cli

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"

	"aspenyard.example/node"
	"aspenyard.example/settings"
	"aspenyard.example/standin/consul"
	"aspenyard.example/standin/engine"
	"aspenyard.example/standin/service"
)

type standinCommand struct {
	Kind     string `arg:"positional,required" placeholder:"platform|engine|service" help:"which stand-in"`
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"settings of the stand-in, JSON"`
}

// standinSettings is the settings file of any stand-in; fields that its kind
// does not use must be left out.
type standinSettings struct {
	// Standin is "platform", "engine" or "service".
	Standin string `json:"standin"`
	Listen  string `json:"listen"`

	ReadsPerSecond  int               `json:"reads_per_second,omitempty"`
	WritesPerSecond int               `json:"writes_per_second,omitempty"`
	ListLag         settings.Duration `json:"list_lag,omitempty"`
	VMs             []consul.VM       `json:"vms,omitempty"`

	Models        []string          `json:"models,omitempty"`
	MemoryTokens  int               `json:"memory_tokens,omitempty"`
	MaxRunning    int               `json:"max_running,omitempty"`
	ChunkTokens   int               `json:"chunk_tokens,omitempty"`
	FloorWatts    int               `json:"floor_watts,omitempty"`
	MaxWatts      int               `json:"max_watts,omitempty"`
	TimeScale     float64           `json:"time_scale,omitempty"`
	LoadLag       settings.Duration `json:"load_lag,omitempty"`
	EventLag      settings.Duration `json:"event_lag,omitempty"`
	EventGap      int               `json:"event_gap,omitempty"`
	ChecksFencing bool              `json:"checks_fencing,omitempty"`
}

// Check implements settings.Checker.
func (s *standinSettings) Check() settings.Faults {
	var faults settings.Faults
	if !slices.Contains([]string{"platform", "engine", "service"}, s.Standin) {
		faults.Add("standin", s.Standin, "platform, engine or service")
	}
	faults.CheckAddr("listen", s.Listen)
	if s.TimeScale < 0 {
		faults.Add("time_scale", s.TimeScale, "0 or more")
	}
	return faults
}

func (c *standinCommand) run(t terminal) int {
	var s standinSettings
	if err := settings.Load(c.Settings, &s); err != nil {
		return t.failf("%v", err)
	}
	if s.Standin != c.Kind {
		return t.failf("%s holds the settings of a stand-in %q, not %q", c.Settings, s.Standin, c.Kind)
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return t.failf("%v", err)
	}
	ctx, ch, cancel := signals()
	defer cancel()
	go func() {
		<-ch
		cancel()
	}()
	fmt.Fprintf(t.out, "stand-in %s on %s\n", s.Standin, listener.Addr())
	if err := node.ServeHTTP(ctx, listener, s.handler(ctx)); err != nil {
		return t.failf("%v", err)
	}
	return exitOK
}

// handler makes the stand-in; an engine runs until ctx ends.
func (s *standinSettings) handler(ctx context.Context) http.Handler {
	switch s.Standin {
	case "platform":
		server := consul.New(consul.Settings{ReadsPerSecond: s.ReadsPerSecond, WritesPerSecond: s.WritesPerSecond, ListLag: s.ListLag.D()})
		server.SetVMs(s.VMs)
		return server.Handler()
	case "service":
		return service.New(service.Settings{ChecksFencing: s.ChecksFencing}).Handler()
	}
	server := engine.New(engine.Settings{
		Config: engine.Config{
			MemoryTokens: s.MemoryTokens, MaxRunning: s.MaxRunning, ChunkTokens: s.ChunkTokens,
			FloorWatts: s.FloorWatts, MaxWatts: s.MaxWatts,
		},
		Models: s.Models, TimeScale: s.TimeScale, ChecksFencing: s.ChecksFencing, LoadLag: s.LoadLag.D(), EventLag: s.EventLag.D(), EventGap: s.EventGap,
	})
	go server.Run(ctx)
	return server.Handler()
}
