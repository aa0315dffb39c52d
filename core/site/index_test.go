package site_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/site"
)

func newIndex() *site.Index {
	return site.NewIndex(site.Config{
		Routes: []site.Route{
			{Name: "root", Host: "a.example", Prefix: "/"},
			{Name: "book", Host: "a.example", Prefix: "/book/"},
			{Name: "look", Host: "a.example", Prefix: "/book/look/"},
			{Name: "other", Host: "b.example", Prefix: "/book/"},
		},
		Teams: []site.Team{{Name: "school", Keys: []string{"k1", "k2"}}},
	})
}

// TestRoute checks that the route with the longest matching prefix is found.
func TestRoute(t *testing.T) {
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/book/look/1", "look"},
		{"a.example", "/book/looking", "book"},
		{"a.example", "/book", "root"},
		{"a.example", "/", "root"},
		{"A.Example:8080", "/book/", "book"},
		{"b.example", "/book/x/y/z", "other"},
		{"b.example", "/", ""},
		{"c.example", "/book/", ""},
		{"b.example", "", ""},
		{"b.example", "book/", ""},
	} {
		got := ""
		if route, found := newIndex().Route(test.host, test.path); found {
			got = route.Name
		}
		assert.Equal(t, got, test.want, "%s %s", test.host, test.path)
	}
}

// TestPick checks that requests are spread over services by weight.
func TestPick(t *testing.T) {
	route := site.Route{Targets: []site.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[route.Pick(float64(i)/1000)]++
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 900, "b": 100})
	assert.Equal(t, (&site.Route{}).Pick(0.5), "")
}

// TestHostTime checks the example in the comment of HostTime.
func TestHostTime(t *testing.T) {
	engine := &site.Engine{Slots: 17, StepTime: 7800 * time.Microsecond, StepPerSlot: 94700 * time.Nanosecond, PrefillTokensPerSec: 45900}
	hostTime := engine.HostTime(site.Model{ReplicaSize: 4, TimeFactor: 1}, 1400, 170)
	assert.Assert(t, hostTime > 480*time.Millisecond && hostTime < 520*time.Millisecond, "%v", hostTime)
}

// TestServiceTime checks that an answer of 430 tokens takes a little over four
// seconds, and that the estimate is zero if the engine's speed is not
// configured.
func TestServiceTime(t *testing.T) {
	engine := &site.Engine{Slots: 17, StepTime: 7800 * time.Microsecond, StepPerSlot: 94700 * time.Nanosecond, PrefillTokensPerSec: 45900}
	serviceTime := engine.ServiceTime(site.Model{ReplicaSize: 4, TimeFactor: 1}, 1400, 430)
	assert.Assert(t, serviceTime > 4*time.Second && serviceTime < 4200*time.Millisecond, "%v", serviceTime)
	assert.Equal(t, (&site.Engine{}).ServiceTime(site.Model{TimeFactor: 1}, 1400, 430), time.Duration(0))
}

func TestTeams(t *testing.T) {
	team, found := newIndex().Team("k2")
	assert.Assert(t, found && team.Name == "school")
	_, found = newIndex().Team("")
	assert.Assert(t, !found)
}
