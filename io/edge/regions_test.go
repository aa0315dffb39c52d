package edge

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

const requiredSettings = `"node":"a","zone":"z","callers-address":"1","ready-address":"2","peers-address":"3","peer-key":"k","store-address":"s"`

// TestRegionSettings guards against a node that does not start where the platform has no regions,
// or takes an unknown one for a home region.
func TestRegionSettings(t *testing.T) {
	for _, test := range []struct {
		name, text string
		own, other string // regions of this node and of the zone y
	}{
		{"absent", ``, "", ""},
		{"null", `,"region":null,"zones":null`, "", ""},
		{"a zone without one", `,"region":"eu","zones":{"y":null}`, "eu", ""},
		{"both", `,"region":"eu","zones":{"z":"eu","y":"us"}`, "eu", "us"},
		{"zones only", `,"zones":{"z":"eu","y":"us"}`, "eu", "us"},
	} {
		t.Run(test.name, func(t *testing.T) {
			settings, err := ParseSettings("f", fmt.Appendf(nil, "{%s%s}", requiredSettings, test.text))
			assert.NilError(t, err)
			assert.Equal(t, settings.regions().Own(), test.own)
			assert.Equal(t, settings.regions().RegionOf("y"), test.other)
		})
	}
}

// TestRegionOfPeer guards against the body of a request at a node that does not keep to home
// regions, or of which it is not certain in which region it is.
func TestRegionOfPeer(t *testing.T) {
	control := &Control{settings: Settings{Zone: "z", Zones: map[string]string{"z": "eu", "y": "us"}}}
	for _, test := range []struct {
		name string
		peer peer
		want string
	}{
		{"of an earlier build", peer{zone: "y"}, ""},
		{"as stated here", peer{zone: "y", region: "us"}, "us"},
		{"other than stated here", peer{zone: "y", region: "eu"}, ""},
		{"of a zone that is not stated here", peer{zone: "x", region: "us"}, "us"},
	} {
		t.Run(test.name, func(t *testing.T) { assert.Equal(t, control.regionOfPeer(&test.peer), test.want) })
	}
}
