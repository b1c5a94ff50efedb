package cli

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"aspenyard.example/eventlog"
	"aspenyard.example/gateway"
	"aspenyard.example/platform"
	"aspenyard.example/settings"
)

// roleGateway is a gateway's role in its log lines.
const roleGateway = "gateway"

// logCloseTimeout bounds the time for writing the last log lines at exit.
const logCloseTimeout = 200 * time.Millisecond

// loadGateway reads the settings file. The gateway calls it again for a reload.
func (c *nodeCommand) loadGateway() (settings.Gateway, error) {
	var s settings.Gateway
	err := settings.Load(c.Settings, &s)
	return s, err
}

func (c *nodeCommand) runGateway(t terminal) int {
	ctx, ch, cancel := notifySignals()
	defer cancel()
	signal.Notify(ch, syscall.SIGHUP)
	s, err := c.loadGateway()
	if err != nil {
		return t.failf("%v", err)
	}
	writer := eventlog.NewWriter(os.Stdout)
	defer func() {
		timeout := make(chan struct{})
		time.AfterFunc(logCloseTimeout, func() { close(timeout) })
		writer.Close(timeout)
	}()
	store := platform.NewStore(s.Store, gateway.Dialer(s.StoreTimeout.D()))
	endpointClient := platform.NewEndpointClient(gateway.Dialer(s.StoreTimeout.D()))
	g := gateway.New(gateway.Config{Settings: s, HeaderCodec: platform.HeaderCodec{}, Source: store, Registry: store, Checkpoints: store,
		Reserver: endpointClient, SlowdownReader: endpointClient, Statements: endpointClient, Log: eventlog.New(writer, s.Name, roleGateway), LogWriter: writer})
	if err := g.Serve(ctx, ch, c.loadGateway); err != nil {
		return t.failf("%v", err)
	}
	return exitOK
}
