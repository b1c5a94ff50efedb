package emulator

import "math"

// pickEntry draws the entry at which a request arrives, weighted by Config.Skew.
func (sim *simulation) pickEntry() *entry {
	n := len(sim.entries)
	if sim.config.Skew <= 1 || n == 1 {
		for {
			if e := sim.entries[sim.loadRand.IntN(n)]; !e.state.dead {
				return e
			}
		}
	}
	weight := func(i int) float64 { return 1 + (sim.config.Skew-1)*float64(i)/float64(n-1) }
	left := sim.loadRand.Float64() * float64(n) * (1 + sim.config.Skew) / 2
	for i := range n {
		if left -= weight(i); left < 0 {
			return sim.entries[i]
		}
	}
	return sim.entries[n-1]
}

// minRate is the least rate at which arrivals are scheduled, in requests a second, so that a
// kind with rate 0 notices the next load change.
const minRate = 0.5

// rateFactor is the factor of the latest load change for a kind.
func (sim *simulation) rateFactor(kind int) float64 {
	factor := 1.0
	for _, change := range sim.config.LoadChanges {
		if sim.Now() >= change.At {
			factor = change.RateFactors[kind]
		}
	}
	return factor
}

// ninthDecileZ is the 0.9 quantile of the standard normal distribution.
const ninthDecileZ = 1.2816

// inLargestTenth reports whether a prompt is in the longest tenth of its kind's distribution.
func (k *Kind) inLargestTenth(tokens int) bool {
	sigma := k.logSigma()
	return float64(tokens) > k.MeanTokens*math.Exp(ninthDecileZ*sigma-sigma*sigma/2)
}

// logSigma is the standard deviation of the logarithm of the prompt length.
func (k *Kind) logSigma() float64 { return math.Sqrt(math.Log(1 + k.Spread*k.Spread)) }

// drawPromptTokens draws a prompt length from the log-normal distribution with the kind's
// mean and spread, bounded by MaxTokens.
func (sim *simulation) drawPromptTokens(k *Kind) int {
	sigma := k.logSigma()
	drawn := k.MeanTokens * math.Exp(sigma*sim.loadRand.NormFloat64()-sigma*sigma/2)
	return min(max(int(drawn), 1), k.MaxTokens)
}
