package admission

import (
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const tolerance = 1e-6

// grant returns what tiers are granted that need engine time only.
func grant(capacity, minimum float64, offered, limits []float64) []float64 {
	loads, granted := make([]Load, len(offered)), make([]float64, len(offered))
	for i, o := range offered {
		loads[i].Time = o
	}
	for i, share := range GrantShares(Load{Time: capacity}, minimum, loads, limits) {
		granted[i] = share * offered[i]
	}
	return granted
}

// drawLoads draws the loads of a few tiers.
func drawLoads(t *rapid.T) []float64 {
	return rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 12).Draw(t, "offered")
}

func sumOf(list []float64) float64 {
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return sum
}

// Guards against grants that exceed the capacity or what is offered, that serve a less urgent tier
// beyond its minimum while a more urgent one lacks something, that starve a tier, and that leave
// capacity unused while load is refused.
func TestGrantsFollowTheOrderOfTiers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offered, capacity, minimum := drawLoads(t), rapid.Float64Range(0, 3000).Draw(t, "capacity"), rapid.Float64Range(0, 0.2).Draw(t, "minimum")
		granted := grant(capacity, minimum, offered, nil)
		least := capacity * min(minimum, maxMinimums/float64(len(offered)))
		lacking := false
		for i, o := range offered {
			if granted[i] > o+tolerance || granted[i] < min(o, least)-tolerance {
				t.Fatalf("tier %d is granted %v of %v; the minimum is %v", i, granted[i], o, least)
			}
			if lacking && granted[i] > min(o, least)+tolerance {
				t.Fatalf("tier %d is granted %v while a more urgent tier lacks capacity", i, granted[i])
			}
			lacking = lacking || granted[i] < o-tolerance
		}
		if want := min(sumOf(offered), capacity); math.Abs(sumOf(granted)-want) > tolerance {
			t.Fatalf("granted %v in total, want %v", sumOf(granted), want)
		}
	})
}

// referenceShares grants each tier the largest share that fits, found by bisection.
func referenceShares(capacity Load, minimum float64, offered []Load) []float64 {
	each := min(minimum, maxMinimums/float64(len(offered)))
	shares, used := make([]float64, len(offered)), Load{}
	raise := func(i int, room Load) {
		low, high := 0.0, 1-shares[i]
		for range 60 {
			if more := (low + high) / 2; more*offered[i].Time <= room.Time && more*offered[i].Memory <= room.Memory {
				low = more
			} else {
				high = more
			}
		}
		shares[i] += low
		used.Time += low * offered[i].Time
		used.Memory += low * offered[i].Memory
	}
	for i := range offered {
		raise(i, Load{each * capacity.Time, each * capacity.Memory})
	}
	for i := range offered {
		raise(i, Load{capacity.Time - used.Time, capacity.Memory - used.Memory})
	}
	return shares
}

// Guards against memory that is given out beyond what there is, against memory that is left while a tier
// lacks nothing else, and against a tier that lacks memory and keeps engine time from the next one.
func TestGrantsDivideMemoryBesideEngineTime(t *testing.T) {
	is := is.New(t)
	is.Equal(GrantShares(Load{100, 100}, 0, []Load{{20, 200}, {80, 0}, {100, 0}}, nil), []float64{0.5, 1, 0.1})
	rapid.Check(t, func(t *rapid.T) {
		amount := rapid.Float64Range(1, 1000)
		capacity, minimum := Load{amount.Draw(t, "time"), amount.Draw(t, "memory")}, rapid.Float64Range(0, 0.2).Draw(t, "minimum")
		offered := make([]Load, rapid.IntRange(1, 5).Draw(t, "tiers"))
		for i := range offered {
			offered[i] = Load{amount.Draw(t, "offered time"), amount.Draw(t, "offered memory")}
		}
		got, want := GrantShares(capacity, minimum, offered, nil), referenceShares(capacity, minimum, offered)
		left := capacity
		for i, share := range got {
			left = left.minus(offered[i].times(share))
			if math.Abs(share-want[i]) > tolerance {
				t.Fatalf("tier %d gets %v, want %v", i, share, want[i])
			}
		}
		if left.Time < -tolerance || left.Memory < -tolerance {
			t.Fatalf("%v is left of %v", left, capacity)
		}
	})
}

// Guards against more capacity that gives a tier less.
func TestGrantsGrowWithTheCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offered, capacity, more := drawLoads(t), rapid.Float64Range(0, 3000).Draw(t, "capacity"), rapid.Float64Range(0, 500).Draw(t, "more")
		before, after := grant(capacity, 0.03, offered, nil), grant(capacity+more, 0.03, offered, nil)
		for i := range offered {
			if after[i] < before[i]-tolerance {
				t.Fatalf("tier %d gets %v of a capacity of %v and %v of %v", i, before[i], capacity, after[i], capacity+more)
			}
		}
	})
}

// Guards against less urgent tiers that keep their load while more urgent requests are late.
func TestLimitsLeaveLessUrgentTiersTheirMinimum(t *testing.T) {
	is := is.New(t)
	granted := grant(100, 0.03, []float64{50, 40, 40}, []float64{1, 0.6, 0.4})
	is.Equal(granted, []float64{50, 10, 3})
	limits := tierLimits([]*demandSum{{started: 100, late: 10}, {started: 100}, {started: 10}})
	is.Equal(limits[0], 1.0) // the most urgent tier is not limited by its own lateness
	is.True(math.Abs(limits[1]-0.85) < tolerance)
	is.Equal(limits[2], 1.0) // of the requests of both tiers before it, few are late
	is.Equal(tierLimits([]*demandSum{{started: 100, late: 90}, {started: 10}})[1], minTierLimit)
	is.Equal(tierLimits([]*demandSum{{started: 100, late: 4}, {started: 10}})[1], 1.0)
}

// fairLevelByBisection is the plain reference of FairLevel for accounts without a rest.
func fairLevelByBisection(capacity float64, accounts []float64) float64 {
	low, high := 0.0, capacity
	for range 200 {
		middle, used := (low+high)/2, 0.0
		for _, o := range accounts {
			used += min(o, middle)
		}
		if used <= capacity {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// Guards against an account that gets more than another which is refused something.
func TestFairLevelIsTheMaxMinLevel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		accounts := rapid.SliceOfN(rapid.Float64Range(0.1, 500), 1, 10).Draw(t, "accounts")
		capacity := rapid.Float64Range(0, 1).Draw(t, "fraction") * sumOf(accounts) * 0.99
		level, _ := FairLevel(capacity, accounts, 0)
		if want := fairLevelByBisection(capacity, accounts); math.Abs(level-want) > 1e-3 {
			t.Fatalf("level %v, want %v", level, want)
		}
	})
}

// Guards against accounts that no report lists and that get more than the listed ones, or nothing.
func TestFairLevelCountsUnlistedAccounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		accounts := rapid.SliceOfN(rapid.Float64Range(1, 500), 0, 10).Draw(t, "accounts")
		rest := rapid.Float64Range(0, 2000).Draw(t, "rest")
		capacity := rapid.Float64Range(0, 1).Draw(t, "fraction") * (sumOf(accounts) + rest)
		level, restEach := FairLevel(capacity, accounts, rest)
		used := 0.0
		for _, o := range accounts {
			used += min(o, level)
		}
		if restEach > 0 {
			used += rest / restEach * min(restEach, level)
		}
		if used > capacity+1e-3 || used < capacity-1e-3 {
			t.Fatalf("level %v uses %v of %v", level, used, capacity)
		}
	})
}

// Guards against many small accounts that together count as one large one.
func TestUnlistedAccountsCountAsManySmallOnes(t *testing.T) {
	is := is.New(t)
	level, restEach := FairLevel(100, []float64{50, 50, 20}, 100) // like five more accounts of 20
	is.Equal(restEach, 20.0)
	is.Equal(level, 12.5)
}

// Guards against shares that are admitted in bursts, or in the long run not kept.
func TestDiffusionAdmitsAShareEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDiffuser(rapid.Uint64().Draw(t, "seed"))
		shares := rapid.SliceOfN(rapid.Float64Range(0, 1), 1, 300).Draw(t, "shares")
		constant := rapid.Bool().Draw(t, "constant")
		key, sum, admitted := diffusionKey{tier: 3, account: 7, kind: "k"}, 0.0, 0
		for _, share := range shares {
			if constant {
				share = shares[0]
			}
			sum += share
			if d.admit(key, share, false) {
				admitted++
			}
			if math.Abs(float64(admitted)-sum) > 1 {
				t.Fatalf("%d admitted where the shares sum up to %v", admitted, sum)
			}
		}
	})
}

// Guards against entries with few requests that all refuse, or all admit, their first one.
func TestDiffusionPhasesDifferBetweenEntries(t *testing.T) {
	is := is.New(t)
	admitted := 0
	for seed := range uint64(1000) {
		if newDiffuser(seed).admit(diffusionKey{kind: "k"}, 0.3, false) {
			admitted++
		}
	}
	is.True(admitted > 250 && admitted < 350)
}

// Guards against priorities that rank a route before its client account, or that overflow.
func TestTiersOrderAccountsBeforeRoutes(t *testing.T) {
	is := is.New(t)
	is.True(TierOf(0, 15) < TierOf(1, 0))
	is.Equal(TierOf(1, 2), Tier(18))
	is.Equal(TierOf(99, 99), Tier(255))
	is.Equal(TierOf(-1, -1), Tier(0))
}
