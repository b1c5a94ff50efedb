package directory

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against an endpoint outside the lists that is selected, one inside that is left out, and an order
// that changes, which would give entries different views of the same engines.
func TestRestrictionsFollowBothLists(t *testing.T) {
	names := rapid.SliceOfN(rapid.SampledFrom([]string{"eu", "us", "ap", "mars"}), 0, 3)
	rapid.Check(t, func(t *rapid.T) {
		regions := Regions{"dc1": "eu", "dc2": "us", "dc3": "ap", "dc4": "eu"}
		route := &Route{AllowedRegions: names.Draw(t, "route")}
		var account *Account
		if rapid.Bool().Draw(t, "has account") {
			account = &Account{AllowedRegions: names.Draw(t, "account")}
		}
		var list, want []*EndpointState
		for _, dataCentre := range rapid.SliceOf(rapid.SampledFrom([]string{"dc1", "dc2", "dc3", "dc4", "dc5", ""})).Draw(t, "data centres") {
			e := &EndpointState{Endpoint: Endpoint{DataCentre: dataCentre}}
			list = append(list, e)
			region := regions[dataCentre]
			if (len(route.AllowedRegions) == 0 || slices.Contains(route.AllowedRegions, region)) &&
				(account == nil || len(account.AllowedRegions) == 0 || slices.Contains(account.AllowedRegions, region)) {
				want = append(want, e)
			}
		}
		if got := regions.Restrict(route, account).Select(list); !slices.Equal(got, want) {
			t.Fatalf("selected %d of %d endpoints, want %d", len(got), len(list), len(want))
		}
	})
}

// Guards against a cost for requests without a restriction.
func TestWithoutARestrictionNothingIsCopied(t *testing.T) {
	is := is.New(t)
	list, service, regions := []*EndpointState{{}}, &Service{}, Regions{"dc1": "eu"}
	is.Equal(testing.AllocsPerRun(100, func() {
		r := regions.Restrict(&Route{}, &Account{})
		is.True(&r.Select(list)[0] == &list[0])
		is.True(r.RestrictedService(service, list) == service)
	}), 0.0)
}
