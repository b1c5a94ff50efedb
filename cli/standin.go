package cli

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"aspenyard.example/node"
	"aspenyard.example/settings"
	"aspenyard.example/standin/consul"
	"aspenyard.example/standin/engine"
	"aspenyard.example/standin/service"
)

type standinCommand struct {
	Kind     string `arg:"positional,required" placeholder:"platform|engine|service" help:"kind of stand-in"`
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"settings of the stand-in, JSON"`
}

// standinSettings is the settings file of all kinds of stand-in. Fields that the kind does
// not use should be left out; they have no effect.
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
func (s *standinSettings) Check() settings.FieldErrors {
	var fieldErrs settings.FieldErrors
	if !slices.Contains([]string{"platform", "engine", "service"}, s.Standin) {
		fieldErrs.Add("standin", s.Standin, "platform, engine or service")
	}
	fieldErrs.CheckAddr("listen", s.Listen)
	s.checkNumbers(&fieldErrs)
	return fieldErrs
}

// Upper bounds of a stand-in's numbers: above what the users' largest deployments have.
const (
	maxStandinRate     = 1_000_000
	maxStandinTokens   = 1_000_000_000
	maxStandinRequests = 100_000
	maxStandinWatts    = 1_000_000
	maxStandinScale    = 1000
	maxStandinLag      = time.Hour
)

// checkNumbers validates the numbers; 0 stands for the stand-in's default.
func (s *standinSettings) checkNumbers(fieldErrs *settings.FieldErrors) {
	fieldErrs.CheckInt("reads_per_second", int64(s.ReadsPerSecond), 0, maxStandinRate)
	fieldErrs.CheckInt("writes_per_second", int64(s.WritesPerSecond), 0, maxStandinRate)
	fieldErrs.CheckRange("list_lag", s.ListLag.D(), 0, maxStandinLag)
	fieldErrs.CheckInt("memory_tokens", int64(s.MemoryTokens), 0, maxStandinTokens)
	fieldErrs.CheckInt("max_running", int64(s.MaxRunning), 0, maxStandinRequests)
	fieldErrs.CheckInt("chunk_tokens", int64(s.ChunkTokens), 0, maxStandinTokens)
	fieldErrs.CheckInt("floor_watts", int64(s.FloorWatts), 0, maxStandinWatts)
	fieldErrs.CheckInt("max_watts", int64(s.MaxWatts), 0, maxStandinWatts)
	if s.TimeScale < 0 || s.TimeScale > maxStandinScale {
		fieldErrs.Add("time_scale", s.TimeScale, "0 to 1000")
	}
	fieldErrs.CheckRange("load_lag", s.LoadLag.D(), 0, maxStandinLag)
	fieldErrs.CheckRange("event_lag", s.EventLag.D(), 0, maxStandinLag)
	fieldErrs.CheckInt("event_gap", int64(s.EventGap), 0, maxStandinRequests)
}

func (c *standinCommand) run(t terminal) int {
	var s standinSettings
	if err := settings.Load(c.Settings, &s); err != nil {
		return t.failf("%v", err)
	}
	if s.Standin != c.Kind {
		return t.failf("%s: settings are for stand-in %q, not %q", c.Settings, s.Standin, c.Kind)
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return t.failf("%v", err)
	}
	ctx, ch, cancel := notifySignals()
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

// handler starts the stand-in and returns its HTTP handler. An engine runs until ctx ends.
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
		Models: s.Models, TimeScale: s.TimeScale, ChecksFencing: s.ChecksFencing, LoadLag: s.LoadLag.D(), EventLag: s.EventLag.D(), EventDropInterval: s.EventGap,
	})
	go server.Run(ctx)
	return server.Handler()
}
