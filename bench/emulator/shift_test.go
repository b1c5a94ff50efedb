package emulator

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// turningMix is a load whose mix turns over at once, every five seconds: long prompts are tripled and
// short ones few, then short prompts are tripled and long ones few.
func turningMix(seed uint64) *Config {
	c := changingMix(seed)
	c.Duration, c.LoadChanges = 42*time.Second, nil
	c.Kinds[0].RequestsPerSecond, c.Kinds[2].RequestsPerSecond = 30, 1.6
	for at := 2 * time.Second; at < c.Duration; at += 10 * time.Second {
		c.LoadChanges = append(c.LoadChanges, LoadChange{at, []float64{0.4, 1, 3}}, LoadChange{at + 5*time.Second, []float64{3, 1, 0.1}})
	}
	return c
}

// steadyMix has the rates of turningMix's kinds in the mean, and does not change.
func steadyMix(seed uint64) *Config {
	c := turningMix(seed)
	c.LoadChanges = nil
	c.Kinds[0].RequestsPerSecond, c.Kinds[2].RequestsPerSecond = 50, 2.4
	return c
}

// Guards against a division that lags behind the mix or follows the noise of a steady one. With the
// larger of two windows' rates 0.91 of the short prompts of the steady mix were on time, instead of
// 0.94.
func TestTargetsAreMetAsTheMixTurnsOver(t *testing.T) {
	is := is.New(t)
	short, medium, long := simulateSeeds(t, turningMix)
	is.True(short.OnTimeShare() > 0.86)
	is.True(medium.OnTimeShare() > 0.96)
	is.True(long.OnTimeShare() > 0.92)
	short, medium, long = simulateSeeds(t, steadyMix)
	is.True(short.OnTimeShare() > 0.93)
	is.True(medium.OnTimeShare() > 0.94)
	is.True(long.OnTimeShare() > 0.88)
}

// Guards against entries that divide the engines differently for long when heartbeats are lost: the
// recent arrivals of an entry that is not heard are missing.
func TestLostHeartbeatsDoNotSpoilTheDivision(t *testing.T) {
	is := is.New(t)
	short, medium, long := simulateSeeds(t, func(seed uint64) *Config {
		c := turningMix(seed)
		c.HeartbeatLoss = 0.3
		return c
	})
	is.True(short.OnTimeShare() > 0.8)
	is.True(medium.OnTimeShare() > 0.94)
	is.True(long.OnTimeShare() > 0.9)
}
