package fakes

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestFencingOfEachService guards against engines that accept late commands though their
// service says that they check fencing numbers, because another service does not.
func TestFencingOfEachService(t *testing.T) {
	const spec = `{
		"deployment": "d", "objective": {"downtime-weight": 1, "stranded-weight": 1}, "zones": [{"name": "z", "region": "r"}],
		"services": [
			{"name": "first", "kind": "model", "model": "m", "version": "1", "hosts-per-replica": 1, "min-replicas": 1, "max-replicas": 1, "replica-streams": 1, "checks-fencing": true, "drain-limit": "1s"},
			{"name": "second", "kind": "model", "model": "n", "version": "1", "hosts-per-replica": 1, "min-replicas": 1, "max-replicas": 1, "replica-streams": 1, "drain-limit": "1s"}
		],
		"teams": [{"name": "t", "key-sha256": ["4664989a0b3ef468cd4dddb9f512334425d285062225d97577f0d2103244fa6a"], "priority": "live", "requests-per-second": 1, "tokens-per-second": 1, "concurrent": 1}],
	}`
	layout, err := NewLayout("spec", []byte(spec), "127.0.0.1", 9000, 1, 1)
	assert.NilError(t, err)
	platform := &Platform{layout: layout, engines: map[string]*Engine{}}
	checks := map[string]bool{}
	for _, hostspec := range layout.Hosts {
		platform.newEndpoint(hostspec, NewWeightStore(0))
		checks[hostspec.Service] = platform.engines[hostspec.Host].checksFencing
	}
	assert.DeepEqual(t, checks, map[string]bool{"first": true, "second": false})
}
