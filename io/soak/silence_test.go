package soak

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/platform"
	"hickorybend/platform/fakes"
)

// TestStormChangesConfig guards against storms whose changes the nodes reject, or which
// change nothing.
func TestStormChangesConfig(t *testing.T) {
	cluster := &cluster{store: fakes.NewStore(), closed: make(chan struct{}), deployed: fakes.Deployment{Version: 1, Keys: []string{firstKey}}, checker: newChecker(newTimeline(), 1)}
	defer cluster.store.Close()
	cluster.changeOften(8)
	close(cluster.closed)
	deployment := cluster.deployment()
	deployment.AddedTeams = 2
	config, err := platform.DecodeConfig(deployment.Config())
	assert.NilError(t, err)
	assert.Equal(t, len(config.Teams), 3)
	assert.Equal(t, len(config.Routes), 5) // three, and two that were added
	look := config.Routes[2]
	assert.Assert(t, look.Timeout > 1500*time.Millisecond && look.Timeout < 2*time.Second, "timeout %s", look.Timeout)
	assert.Equal(t, look.Targets[0].Service, fakes.ServicePlain)
	assert.Assert(t, look.Targets[0].Weight > 1)
}
