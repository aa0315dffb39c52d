package soak

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
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

// TestPausedRunnerKeepsBehavior guards against a runner that keeps the behavior of a fault after the
// fault, because it was paused when it was told and carried it out later.
func TestPausedRunnerKeepsBehavior(t *testing.T) {
	t.Parallel()
	resumesAt := time.Now().Add(1200 * time.Millisecond) // later than a runner is waited for
	var mutex sync.Mutex
	var carriedOut []string
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		value := r.PostFormValue("retry-after")
		time.Sleep(time.Until(resumesAt))
		mutex.Lock()
		defer mutex.Unlock()
		carriedOut = append(carriedOut, value)
	}))
	defer server.Close()
	proxy, err := NewProxy("127.0.0.1:0", strings.TrimPrefix(server.URL, "http://"))
	assert.NilError(t, err)
	defer proxy.Close()
	value, none := "1", ""
	cluster := &cluster{closed: make(chan struct{})}
	cluster.behaveFor(&slot{proxy: proxy}, time.Millisecond, fakes.Behavior{RetryAfter: &value}, fakes.Behavior{RetryAfter: &none})
	time.Sleep(time.Until(resumesAt.Add(200 * time.Millisecond)))
	mutex.Lock()
	defer mutex.Unlock()
	assert.Check(t, slices.Contains(carriedOut, value))
	assert.Equal(t, carriedOut[len(carriedOut)-1], none, "%q", carriedOut)
}
