package node

import (
	"context"
	"os"
	"syscall"

	"go.uber.org/zap"
)

// StopSignals returns a channel of the signals that ask the process to stop, until ctx ends. SIGHUP does not: entries and
// agents have nothing to reload, and an operator's scripts send it to all processes alike. It is logged and dropped.
func StopSignals(ctx context.Context, signals <-chan os.Signal, log *zap.Logger) <-chan os.Signal {
	stops := make(chan os.Signal)
	go func() {
		for {
			select {
			case signal := <-signals:
				if signal == syscall.SIGHUP {
					log.Info("signal ignored", zap.String("signal", signal.String()))
					continue
				}
				select {
				case stops <- signal:
				case <-ctx.Done():
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return stops
}
