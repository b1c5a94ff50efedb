package bench

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"aspenyard.example/burn"
)

// IdleResult is the resource use of one process.
type IdleResult struct {
	Addr string `json:"addr"`
	// CorePercent is the processor time in percent of one core.
	CorePercent float64 `json:"core_percent"`
	// ResidentBytes is the resident memory at the end, AnonymousBytes the part of it that is
	// not backed by files.
	ResidentBytes  float64 `json:"resident_bytes"`
	AnonymousBytes float64 `json:"anonymous_bytes"`
	// SentPerSecond and ReceivedPerSecond are the bytes of the process's membership loop.
	SentPerSecond     float64 `json:"control_sent_bytes_per_second"`
	ReceivedPerSecond float64 `json:"control_received_bytes_per_second"`
}

// Idle measures running processes, given by their operators' addresses: it reads their metrics
// before and after a time.
func Idle(addrs []string, length time.Duration) ([]IdleResult, error) {
	before := make([]map[string]float64, len(addrs))
	for i, addr := range addrs {
		var err error
		if before[i], err = scrape(addr); err != nil {
			return nil, err
		}
	}
	start := time.Now()
	time.Sleep(length)
	var results []IdleResult
	for i, addr := range addrs {
		after, err := scrape(addr)
		if err != nil {
			return nil, err
		}
		rate := func(name string) float64 { return (after[name] - before[i][name]) / time.Since(start).Seconds() }
		results = append(results, IdleResult{
			Addr: addr, CorePercent: 100 * rate("process_cpu_seconds_total"),
			ResidentBytes: after["process_resident_memory_bytes"], AnonymousBytes: after["process_resident_memory_anon_bytes"],
			SentPerSecond: rate("aspenyard_control_sent_bytes_total"), ReceivedPerSecond: rate("aspenyard_control_received_bytes_total"),
		})
	}
	return results, nil
}

// scrape reads the metrics of one process that have a single time series.
func scrape(addr string) (map[string]float64, error) {
	client := &http.Client{Timeout: 5 * time.Second}
	response, err := client.Get("http://" + addr + "/metrics")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return nil, errors.Wrap(err, addr)
	}
	values := map[string]float64{}
	for name, family := range families {
		if metrics := family.GetMetric(); len(metrics) == 1 {
			values[name] = burn.MetricValue(metrics[0])
		}
	}
	return values, nil
}
