package homes_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"hickorybend/core/homes"
	"hickorybend/core/site"
)

// expectEndpoints checks in which regions endpoints may get a request, of eu, us, asia and an
// unknown one.
func expectEndpoints(t *testing.T, route, team []string, want ...string) {
	t.Helper()
	decided := homes.Of(route, team)
	var got []string
	for _, region := range []string{"eu", "us", "asia", ""} {
		if decided.AllowsEndpoint(region) {
			got = append(got, region)
		}
	}
	assert.DeepEqual(t, got, want)
	assert.Equal(t, decided.Restricted(), len(route)+len(team) > 0)
}

// TestEndpoints guards against a request that an endpoint outside of its home regions gets, and
// against regions that are lost without any.
func TestEndpoints(t *testing.T) {
	for _, test := range []struct {
		name        string
		route, team []string
		want        []string
	}{
		{"none", nil, nil, []string{"eu", "us", "asia", ""}},
		{"empty lists", []string{}, []string{}, []string{"eu", "us", "asia", ""}},
		{"of the route", []string{"eu", "us"}, nil, []string{"eu", "us"}},
		{"of the team", nil, []string{"asia"}, []string{"asia"}},
		{"that overlap", []string{"eu", "us"}, []string{"asia", "eu"}, []string{"eu"}},
		{"that do not overlap", []string{"eu"}, []string{"us"}, nil},
		{"that do not exist", []string{"atlantis"}, nil, nil},
		{"one that exists", []string{"atlantis", "us"}, nil, []string{"us"}},
		{"without a name", []string{""}, nil, nil},
		{"without a name, of both", []string{""}, []string{""}, nil},
		{"in other letters", []string{"EU"}, nil, nil},
	} {
		t.Run(test.name, func(t *testing.T) { expectEndpoints(t, test.route, test.team, test.want...) })
	}
}

// TestNodes guards against the body of a request at a node outside of its home regions and the
// caller's region.
func TestNodes(t *testing.T) {
	for _, test := range []struct {
		name         string
		homes        homes.Homes
		node, caller string
		want         bool
	}{
		{"without home regions", homes.Homes{}, "", "", true},
		{"in a home region", homes.Of([]string{"eu"}, nil), "eu", "us", true},
		{"in the caller's region", homes.Of([]string{"eu"}, nil), "us", "us", true},
		{"elsewhere", homes.Of([]string{"eu"}, nil), "asia", "us", false},
		{"in an unknown region", homes.Of([]string{"eu"}, nil), "", "us", false},
		{"both unknown", homes.Of([]string{"eu"}, nil), "", "", false},
		{"in the team's home region only", homes.Of([]string{"eu"}, []string{"us"}), "us", "eu", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, test.homes.AllowsNode(test.node, test.caller), test.want)
		})
	}
}

// TestZones checks the regions of zones that are stated, of this node's own, and of others.
func TestZones(t *testing.T) {
	zones := homes.Zones{OwnZone: "a", OwnRegion: "eu", Regions: map[string]string{"b": "us", "c": ""}}
	for zone, want := range map[string]string{"a": "eu", "b": "us", "c": "", "d": "", "": ""} {
		assert.Equal(t, zones.RegionOf(zone), want, "zone %q", zone)
	}
	assert.Equal(t, zones.Own(), "eu")
	assert.Equal(t, homes.Zones{OwnZone: "b", Regions: zones.Regions}.Own(), "us")
	assert.Equal(t, homes.Zones{OwnRegion: "eu"}.RegionOf(""), "")
	assert.Equal(t, homes.Zones{}.Own(), "")
}

// TestFindUnknown checks that each unknown region is found once, with those that name it.
func TestFindUnknown(t *testing.T) {
	config := site.Config{
		Routes: []site.Route{{Name: "r", AllowedRegions: []string{"eu", "atlantis", "mu"}}, {Name: "s", AllowedRegions: []string{"us"}}, {Name: "t"}},
		Teams:  []site.Team{{Name: "u", AllowedRegions: []string{"atlantis"}}, {Name: "v", AllowedRegions: []string{"eu"}}},
	}
	zones := homes.Zones{OwnZone: "a", OwnRegion: "eu", Regions: map[string]string{"b": "us"}}
	assert.DeepEqual(t, homes.FindUnknown(config, zones), homes.Unknown{Regions: []string{"atlantis", "mu"}, Routes: []string{"r"}, Teams: []string{"u"}})
	assert.DeepEqual(t, homes.FindUnknown(config, homes.Zones{}).Regions, []string{"eu", "atlantis", "mu", "us"})
	assert.DeepEqual(t, homes.FindUnknown(site.Config{}, homes.Zones{}), homes.Unknown{})
}
