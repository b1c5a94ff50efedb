package cli

import (
	"os/signal"
	"syscall"

	"aspenyard.example/agent"
	"aspenyard.example/entry"
	"aspenyard.example/membership"
	"aspenyard.example/node"
	"aspenyard.example/settings"
)

// runEntry runs an entry until a signal stops it or it fails.
func (c *nodeCommand) runEntry(t terminal) int {
	var s settings.Entry
	if err := settings.Load(c.Settings, &s); err != nil {
		return t.failf("%v", err)
	}
	log := node.NewLogger(s.Name, membership.RoleEntry)
	e, err := entry.New(s, log)
	if err != nil {
		return t.failf("%v", err)
	}
	ctx, ch, cancel := notifySignals()
	defer cancel()
	signal.Notify(ch, syscall.SIGHUP) // its default action would end the process and cut off its requests
	if err := e.Serve(ctx, ch); err != nil {
		return t.failf("%v", err)
	}
	return exitOK
}

// runAgent runs an agent until a signal stops it or it fails.
func (c *nodeCommand) runAgent(t terminal) int {
	var s settings.Agent
	if err := settings.Load(c.Settings, &s); err != nil {
		return t.failf("%v", err)
	}
	ctx, ch, cancel := notifySignals()
	defer cancel()
	signal.Notify(ch, syscall.SIGHUP)
	if err := agent.New(s, node.NewLogger(s.Name, membership.RoleAgent)).Serve(ctx, ch); err != nil {
		return t.failf("%v", err)
	}
	return exitOK
}
