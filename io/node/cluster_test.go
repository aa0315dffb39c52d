package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"hickorybend/core/rows"
	"hickorybend/io/admin"
	"hickorybend/io/conf"
	"hickorybend/io/fakes"
	"hickorybend/io/node"
	"hickorybend/io/wire"
)

// cluster is a stand-in of the platform and some nodes, all in this process and on
// loopback addresses, with intervals and timeouts short enough for tests.
type cluster struct {
	t        *testing.T
	platform *fakes.Platform
	layout   fakes.Layout
	nodes    []*testNode
}

// testNode is one node of a cluster. Its store can be disconnected.
type testNode struct {
	settings conf.Settings
	app      *fx.App
	store    *disconnectableStore
	stopped  bool
}

// disconnectableStore is a store that fails every operation while it is disconnected.
type disconnectableStore struct {
	rows.Store
	disconnected atomic.Bool
}

func (store *disconnectableStore) Commit(ctx context.Context, txn rows.Txn) rows.Outcome {
	if store.disconnected.Load() {
		return rows.Unknown{Cause: rows.ErrOutage}
	}
	return store.Store.Commit(ctx, txn)
}

func (store *disconnectableStore) Get(ctx context.Context, key rows.Key) (rows.Row, error) {
	if store.disconnected.Load() {
		return rows.Row{}, rows.ErrOutage
	}
	return store.Store.Get(ctx, key)
}

func (store *disconnectableStore) List(ctx context.Context, partition string) ([]rows.Row, error) {
	if store.disconnected.Load() {
		return nil, rows.ErrOutage
	}
	return store.Store.List(ctx, partition)
}

const specTemplate = `{
  "deployment": "test",
  "zones": [{"name": "za", "region": "r"}, {"name": "zb", "region": "r"}, {"name": "zc", "region": "r"}],
  "objective": {"downtime-weight": 1, "stranded-weight": 1},
  "services": [
    {"name": "llm", "kind": "model", "model": "m", "version": "1", "hosts-per-replica": 2, "min-replicas": MIN,
     "max-replicas": 6, "replica-streams": 16, "checks-fencing": CHECKS, "spread-zones": true, "drain-limit": "20s"},
    {"name": "ledger", "kind": "plain", "path-prefix": "/ledger", "drain-limit": "5s",
     "once-calls": [{"method": "POST", "path": "/loans"}, {"method": "POST", "path": "/loans/*/return"}]}
  ],
  "teams": [
    {"name": "t1", "key-sha256": ["` + "KEY1" + `"], "priority": "live", "requests-per-second": 9000, "tokens-per-second": 900000, "concurrent": 900},
    {"name": "t2", "key-sha256": ["` + "KEY2" + `"], "priority": "batch", "requests-per-second": 6, "tokens-per-second": 900000, "concurrent": 900}
  ]
}`

func specText(replicas int, checksFencing bool) string {
	return strings.NewReplacer(
		"MIN", fmt.Sprint(replicas), "CHECKS", fmt.Sprint(checksFencing), "KEY1", wire.HashKey("key1"), "KEY2", wire.HashKey("key2"),
	).Replace(specTemplate)
}

// clusterCount counts the clusters of this process. Each has its own loopback address.
var clusterCount atomic.Int64

// reserveAddresses returns addresses that nothing else on this machine uses: each
// cluster has its own loopback address, and the ports are below the range from which
// the system assigns ports.
func reserveAddresses(count int) []string {
	ip := fmt.Sprintf("127.%d.%d.1", 2+os.Getpid()%200, clusterCount.Add(1))
	var addresses []string
	for i := range count {
		addresses = append(addresses, fmt.Sprintf("%s:%d", ip, firstPort+i))
	}
	return addresses
}

const firstPort = 10_000

// newCluster starts the platform's stand-in and creates nodes that are not started yet.
// Each of the three zones has one fabric domain with the given number of model hosts,
// and one host of the plain service.
func newCluster(t *testing.T, hosts, nodes int, checksFencing bool) *cluster {
	t.Helper()
	cluster := &cluster{t: t}
	zones := []string{"za", "zb", "zc"}
	hostSpecs := fakes.PlaceHosts("llm", zones, 1, hosts, "127.0.0.1", 0)
	hostSpecs = append(hostSpecs, fakes.PlaceHosts("ledger", zones, 1, 1, "127.0.0.1", 0)...)
	addresses := reserveAddresses(len(hostSpecs) + 1 + 2*nodes)
	for i := range hostSpecs {
		hostSpecs[i].Address = addresses[i]
	}
	speed := fakes.DefaultSpeed()
	speed.LoadTime = 30 * time.Millisecond
	speed.ReportEvery = 100 * time.Millisecond
	speed.ProcessingTime = time.Millisecond
	cluster.layout = fakes.Layout{
		Address: addresses[len(hostSpecs)], Hosts: hostSpecs, PlainServices: []string{"ledger"},
		Speed: speed, LoadSpacing: time.Millisecond, HostListLag: 100 * time.Millisecond,
	}
	if checksFencing {
		cluster.layout.FencingServices = []string{"llm"}
	}
	nodeAddresses := addresses[len(hostSpecs)+1:]
	for i := range nodes {
		cluster.layout.Nodes = append(cluster.layout.Nodes, fakes.HostSpec{
			Host: fmt.Sprintf("n%d", i), Zone: zones[i%3], Service: "hickorybend", Address: nodeAddresses[2*i+1],
		})
	}
	platform, err := fakes.Start(cluster.layout)
	assert.NilError(t, err)
	cluster.platform = platform
	t.Cleanup(cluster.stop)
	for i := range nodes {
		cluster.nodes = append(cluster.nodes, &testNode{settings: cluster.settings(i, nodeAddresses)})
	}
	return cluster
}

func (cluster *cluster) settings(i int, nodeAddresses []string) conf.Settings {
	settings := conf.Defaults()
	settings.Node = cluster.layout.Nodes[i].Host
	settings.Zone = cluster.layout.Nodes[i].Zone
	settings.CallersAddress = nodeAddresses[2*i]
	settings.ControlAddress = nodeAddresses[2*i+1]
	settings.PeerKey = "peer"
	settings.Operators = []conf.Operator{{Name: "op", KeySHA256: wire.HashKey("op")}}
	settings.Platform.TableEndpoint = "http://" + cluster.layout.Address + "/table"
	settings.Platform.ObjectEndpoint = "http://" + cluster.layout.Address + "/objects"
	settings.Platform.HostsEndpoint = "http://" + cluster.layout.Address
	settings.Platform.KeyID, settings.Platform.Secret = "x", "x"
	settings.Watch.ProbeInterval, settings.Watch.ProbeTimeout, settings.Watch.StatusTTL = 60*time.Millisecond, 400*time.Millisecond, 600*time.Millisecond
	settings.Lease.RenewEvery, settings.Lease.TTL, settings.Lease.Margin = 200*time.Millisecond, 1200*time.Millisecond, 100*time.Millisecond
	settings.Config.PollInterval, settings.Config.ConfirmationTTL, settings.Config.HeartbeatTimeout = 150*time.Millisecond, 900*time.Millisecond, 2500*time.Millisecond
	settings.Place.LostAfter = 900 * time.Millisecond
	settings.Drain.Notice, settings.Drain.Timeout = 200*time.Millisecond, 20*time.Second
	return settings
}

func (cluster *cluster) start(i int) {
	cluster.t.Helper()
	testnode := cluster.nodes[i]
	testnode.stopped = false
	testnode.app = fx.New(
		fx.Supply(testnode.settings, zap.NewNop()),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Decorate(func(store rows.Store) rows.Store {
			testnode.store = &disconnectableStore{Store: store}
			return testnode.store
		}),
		fx.StopTimeout(time.Minute),
		node.Module(),
	)
	assert.NilError(cluster.t, testnode.app.Start(context.Background()))
}

func (cluster *cluster) startAll() {
	cluster.t.Helper()
	for i := range cluster.nodes {
		cluster.start(i)
	}
}

func (cluster *cluster) stopNode(i int) {
	testnode := cluster.nodes[i]
	if testnode.app != nil && !testnode.stopped {
		testnode.stopped = true
		_ = testnode.app.Stop(context.Background())
	}
}

func (cluster *cluster) stop() {
	for i := range cluster.nodes {
		if testnode := cluster.nodes[i]; testnode.store != nil {
			testnode.store.disconnected.Store(true)
		}
	}
	for i := range cluster.nodes {
		cluster.stopNode(i)
	}
	cluster.platform.Stop()
}

func (cluster *cluster) admin(i int) *admin.Client {
	return admin.NewClient(http.DefaultClient, "http://"+cluster.nodes[i].settings.ControlAddress, "op")
}

func (cluster *cluster) apply(i int, text string, base int64) (admin.ApplyResult, error) {
	return cluster.admin(i).Apply(context.Background(), "test.jsonc", []byte(text), base)
}

// bringUp starts the nodes, applies the spec and waits until every node sees the
// given number of complete replicas.
func (cluster *cluster) bringUp(replicas int, checksFencing bool) {
	cluster.t.Helper()
	cluster.startAll()
	cluster.eventually("the configuration is accepted", func() bool {
		applyresult, err := cluster.apply(0, specText(replicas, checksFencing), 0)
		return err == nil && applyresult.Head > 0 && len(applyresult.NoticeUnacknowledged) == 0
	})
	for i := range cluster.nodes {
		cluster.eventually("all replicas serve", func() bool { return cluster.completeReplicas(i) == replicas })
	}
}

func (cluster *cluster) report(i int) admin.Report {
	report, err := cluster.admin(i).Status(context.Background())
	if err != nil {
		return admin.Report{}
	}
	return report
}

// completeReplicas counts the replicas that a node reports as complete and serving.
func (cluster *cluster) completeReplicas(i int) int {
	count := 0
	for _, replica := range cluster.report(i).Replicas {
		if replica.Complete && replica.Replica.State == "serving" {
			count++
		}
	}
	return count
}

// eventually waits until a condition holds, and fails the test after some 30 seconds.
// How long it took does not matter otherwise.
func (cluster *cluster) eventually(condition string, holds func() bool) {
	cluster.t.Helper()
	for range 1200 {
		if holds() {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	cluster.t.Fatalf("condition not reached: %s", condition)
}

type callResult struct {
	status  int
	outcome string
	body    string
}

func (cluster *cluster) call(i int, method, path, body string, headers ...string) callResult {
	request, err := http.NewRequest(method, "http://"+cluster.nodes[i].settings.CallersAddress+path, strings.NewReader(body))
	assert.NilError(cluster.t, err)
	request.Header.Set("Authorization", "Bearer key1")
	for j := 0; j+1 < len(headers); j += 2 {
		request.Header.Set(headers[j], headers[j+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callResult{outcome: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return callResult{status: response.StatusCode, outcome: err.Error(), body: string(responseBody)}
	}
	return callResult{status: response.StatusCode, outcome: response.Header.Get("X-Outcome"), body: string(responseBody)}
}

// completes sends a prompt and reports whether it was answered. It fails the test if
// an answer is incomplete or belongs to another prompt.
func (cluster *cluster) completes(i int, prompt string, tokens int) bool {
	cluster.t.Helper()
	body, _ := json.Marshal(map[string]any{"model": "m", "prompt": prompt, "max_tokens": tokens})
	result := cluster.call(i, http.MethodPost, "/v1/completions", string(body))
	if result.status != http.StatusOK {
		cluster.t.Logf("%s: %d %s %s", prompt, result.status, result.outcome, result.body)
		return false
	}
	var decoded struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	assert.NilError(cluster.t, json.NewDecoder(bytes.NewReader([]byte(result.body))).Decode(&decoded))
	assert.Equal(cluster.t, decoded.Choices[0].Text, fakes.CompletionText(prompt, tokens))
	return true
}
