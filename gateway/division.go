package gateway

import (
	"fmt"
	"maps"
	"math"
	"time"

	"go.uber.org/zap"

	"aspenyard.example/directory"
	"aspenyard.example/routing/direct"
	"aspenyard.example/wire"
)

// squaresUnit is the number of units in heartbeats for a second squared of engine time.
const squaresUnit = 1000

// encodeDemand returns a demand as heartbeats carry it.
func encodeDemand(d *direct.Demand) *wire.Demand {
	ms := func(t time.Duration) uint32 { return uint32(max(t.Milliseconds(), 0)) }
	squares := func(s float64) uint32 { return uint32(min(math.Ceil(s*squaresUnit), math.MaxUint32)) }
	return &wire.Demand{
		Service: d.Service, LongPrefillMs: ms(d.LongPrefill), OpenShort: uint32(max(d.ShortInFlight, 0)),
		ReadingMs: ms(d.PendingPrefill), WaitingMs: ms(d.QueuedPrefill),
		RecentLongMs: ms(d.Long.Recent), LongSquares: squares(d.Long.Squares), RecentLongSquares: squares(d.Long.RecentSquares),
		ShortMs: ms(d.Short.EngineTime), RecentShortMs: ms(d.Short.Recent), ShortSquares: squares(d.Short.Squares), RecentShortSquares: squares(d.Short.RecentSquares),
	}
}

// decodeDemand returns the demand that a heartbeat carries. The recent arrivals are at most all.
func decodeDemand(d *wire.Demand) direct.Demand {
	arrivals := func(total, recent, squares, recentSquares uint32) direct.Arrivals {
		return direct.Arrivals{
			EngineTime: milliseconds(total), Recent: milliseconds(min(recent, total)),
			Squares: float64(squares) / squaresUnit, RecentSquares: float64(min(recentSquares, squares)) / squaresUnit,
		}
	}
	return direct.Demand{
		Service: d.Service, LongPrefill: milliseconds(d.LongPrefillMs), ShortInFlight: int(d.OpenShort),
		PendingPrefill: milliseconds(d.ReadingMs), QueuedPrefill: milliseconds(d.WaitingMs),
		Long:  arrivals(d.LongPrefillMs, d.RecentLongMs, d.LongSquares, d.RecentLongSquares),
		Short: arrivals(d.ShortMs, d.RecentShortMs, d.ShortSquares, d.RecentShortSquares),
	}
}

const (
	// divisionLogInterval is the minimum time between two log lines of a service's division.
	divisionLogInterval = time.Second
	// divisionLogShare is the fraction of the engines by which the division must have moved.
	divisionLogShare = 0.25
)

// divisions logs how the engines of each service are divided between short and long prompts. Only
// the control thread of the membership loop uses it.
type divisions struct {
	gateway *Gateway
	// logged holds the last logged division by service.
	logged map[string]loggedDivision
}

type loggedDivision struct {
	at    time.Time
	share float64
}

// shortEngines returns the number of a service's engines reserved for short prompts, and of all its
// engines.
func (g *Gateway) shortEngines(now time.Time, service *directory.Service) (short, all int) {
	all = len(g.snapshot.Load().Endpoints(service.Name))
	return g.policy.ShortEngines(now, service, all), all
}

// observe logs the divisions that have moved.
func (d *divisions) observe(now time.Time) {
	config := d.gateway.snapshot.Load().Config
	if config == nil {
		return
	}
	for _, service := range config.Services() {
		if service.Engine == nil {
			continue
		}
		last, known := d.logged[service.Name]
		if known && now.Sub(last.at) < divisionLogInterval {
			continue
		}
		short, all := d.gateway.shortEngines(now, service)
		if all == 0 {
			continue
		}
		share := float64(short) / float64(all)
		switch {
		case !known:
			d.registerMetrics(service.Name)
		case math.Abs(share-last.share) < divisionLogShare:
			continue
		default:
			d.gateway.log.Info("engine_division", zap.String("service", service.Name), zap.Int("short", short), zap.Int("engines", all), zap.Int("before", int(last.share*float64(all)+0.5)))
		}
		d.logged[service.Name] = loggedDivision{now, share}
	}
	maps.DeleteFunc(d.logged, func(name string, _ loggedDivision) bool { return config.Service(name) == nil })
}

// registerMetrics registers the gauge of a service's division.
func (d *divisions) registerMetrics(service string) {
	d.gateway.metrics.GetOrCreateGauge(fmt.Sprintf("aspenyard_gateway_short_engines{service=%q}", service), func() float64 {
		config := d.gateway.snapshot.Load().Config
		if config == nil || config.Service(service) == nil || config.Service(service).Engine == nil {
			return 0
		}
		short, _ := d.gateway.shortEngines(time.Now(), config.Service(service))
		return float64(short)
	})
}
