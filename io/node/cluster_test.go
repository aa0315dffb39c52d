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

// cluster is a platform's stand-in and some nodes, all in this process and on
// loopback, with times short enough for tests.
type cluster struct {
	t        *testing.T
	platform *fakes.Platform
	layout   fakes.Layout
	nodes    []*member
}

// member is one node of a cluster, with a switch between it and the store.
type member struct {
	settings conf.Settings
	app      *fx.App
	store    *cutStore
	stopped  bool
}

// cutStore can be cut off from the real store.
type cutStore struct {
	rows.Store
	cut atomic.Bool
}

func (store *cutStore) Commit(ctx context.Context, txn rows.Txn) rows.Outcome {
	if store.cut.Load() {
		return rows.Unknown{Cause: rows.ErrOutage}
	}
	return store.Store.Commit(ctx, txn)
}

func (store *cutStore) Get(ctx context.Context, key rows.Key) (rows.Row, error) {
	if store.cut.Load() {
		return rows.Row{}, rows.ErrOutage
	}
	return store.Store.Get(ctx, key)
}

func (store *cutStore) List(ctx context.Context, part string) ([]rows.Row, error) {
	if store.cut.Load() {
		return nil, rows.ErrOutage
	}
	return store.Store.List(ctx, part)
}

const testText = `{
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

func textOf(replicas int, checks bool) string {
	return strings.NewReplacer(
		"MIN", fmt.Sprint(replicas), "CHECKS", fmt.Sprint(checks), "KEY1", wire.HashKey("key1"), "KEY2", wire.HashKey("key2"),
	).Replace(testText)
}

// clusters counts the clusters of this process, which have a loopback IP number each.
var clusters atomic.Int64

// addressesOf gives addresses that nothing else on this machine uses: the
// ports are below those that the system hands out.
func addressesOf(count int) []string {
	ip := fmt.Sprintf("127.%d.%d.1", 2+os.Getpid()%200, clusters.Add(1))
	var addresses []string
	for i := range count {
		addresses = append(addresses, fmt.Sprintf("%s:%d", ip, firstPort+i))
	}
	return addresses
}

const firstPort = 10_000

// newCluster starts the stand-ins for three zones of one fabric domain each
// with so many model hosts, and so many nodes.
func newCluster(t *testing.T, hosts, nodes int, checks bool) *cluster {
	t.Helper()
	c := &cluster{t: t}
	zones := []string{"za", "zb", "zc"}
	specs := fakes.PlaceHosts("llm", zones, 1, hosts, "127.0.0.1", 0)
	specs = append(specs, fakes.PlaceHosts("ledger", zones, 1, 1, "127.0.0.1", 0)...)
	ports := addressesOf(len(specs) + 1 + 2*nodes)
	for i := range specs {
		specs[i].Address = ports[i]
	}
	speed := fakes.DefaultSpeed()
	speed.LoadTime = 30 * time.Millisecond
	speed.ReportEvery = 100 * time.Millisecond
	speed.ProcessingTime = time.Millisecond
	c.layout = fakes.Layout{
		Address: ports[len(specs)], Hosts: specs, PlainServices: []string{"ledger"}, ChecksFencing: checks,
		Speed: speed, LoadSpacing: time.Millisecond, HostListLag: 100 * time.Millisecond,
	}
	own := ports[len(specs)+1:]
	for i := range nodes {
		c.layout.Nodes = append(c.layout.Nodes, fakes.HostSpec{
			Host: fmt.Sprintf("n%d", i), Zone: zones[i%3], Service: "hickorybend", Address: own[2*i+1],
		})
	}
	platform, err := fakes.Start(c.layout)
	assert.NilError(t, err)
	c.platform = platform
	t.Cleanup(c.stop)
	for i := range nodes {
		c.nodes = append(c.nodes, &member{settings: c.settings(i, own)})
	}
	return c
}

func (c *cluster) settings(i int, own []string) conf.Settings {
	settings := conf.Defaults()
	settings.Node = c.layout.Nodes[i].Host
	settings.Zone = c.layout.Nodes[i].Zone
	settings.CallersAddress = own[2*i]
	settings.ControlAddress = own[2*i+1]
	settings.PeerKey = "peer"
	settings.Operators = []conf.Operator{{Name: "op", KeySHA256: wire.HashKey("op")}}
	settings.Platform.TableEndpoint = "http://" + c.layout.Address + "/table"
	settings.Platform.ObjectEndpoint = "http://" + c.layout.Address + "/objects"
	settings.Platform.HostsEndpoint = "http://" + c.layout.Address
	settings.Platform.KeyID, settings.Platform.Secret = "x", "x"
	settings.Watch.ProbeInterval, settings.Watch.ProbeTimeout, settings.Watch.StatusTTL = 60*time.Millisecond, 400*time.Millisecond, 600*time.Millisecond
	settings.Lease.RenewEvery, settings.Lease.TTL, settings.Lease.Margin = 200*time.Millisecond, 1200*time.Millisecond, 100*time.Millisecond
	settings.Config.PollEvery, settings.Config.ConfirmTerm, settings.Config.NodeTerm = 150*time.Millisecond, 900*time.Millisecond, 2500*time.Millisecond
	settings.Place.LostAfter = 900 * time.Millisecond
	settings.Drain.Notice, settings.Drain.Limit = 200*time.Millisecond, 20*time.Second
	return settings
}

func (c *cluster) start(i int) {
	c.t.Helper()
	m := c.nodes[i]
	m.stopped = false
	m.app = fx.New(
		fx.Supply(m.settings, zap.NewNop()),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Decorate(func(store rows.Store) rows.Store {
			m.store = &cutStore{Store: store}
			return m.store
		}),
		fx.StopTimeout(time.Minute),
		node.Module(),
	)
	assert.NilError(c.t, m.app.Start(context.Background()))
}

func (c *cluster) startAll() {
	c.t.Helper()
	for i := range c.nodes {
		c.start(i)
	}
}

func (c *cluster) stopNode(i int) {
	m := c.nodes[i]
	if m.app != nil && !m.stopped {
		m.stopped = true
		_ = m.app.Stop(context.Background())
	}
}

func (c *cluster) stop() {
	for i := range c.nodes {
		if m := c.nodes[i]; m.store != nil {
			m.store.cut.Store(true)
		}
	}
	for i := range c.nodes {
		c.stopNode(i)
	}
	c.platform.Stop()
}

func (c *cluster) admin(i int) *admin.Client {
	return admin.NewClient(http.DefaultClient, "http://"+c.nodes[i].settings.ControlAddress, "op")
}

func (c *cluster) apply(i int, text string, base int64) (admin.ApplyResult, error) {
	return c.admin(i).Apply(context.Background(), "test.jsonc", []byte(text), base)
}

// up applies the text and waits until every node sees so many whole replicas.
func (c *cluster) up(replicas int, checks bool) {
	c.t.Helper()
	c.startAll()
	c.eventually("the text is accepted", func() bool {
		applyresult, err := c.apply(0, textOf(replicas, checks), 0)
		return err == nil && applyresult.Head > 0 && len(applyresult.Unresponsive) == 0
	})
	for i := range c.nodes {
		c.eventually("all replicas serve", func() bool { return c.whole(i) == replicas })
	}
}

func (c *cluster) report(i int) admin.Report {
	report, err := c.admin(i).Status(context.Background())
	if err != nil {
		return admin.Report{}
	}
	return report
}

// whole counts the replicas that serve with every host, as a node sees it.
func (c *cluster) whole(i int) int {
	count := 0
	for _, replica := range c.report(i).Replicas {
		if replica.Complete && replica.Replica.State == "serving" {
			count++
		}
	}
	return count
}

// eventually waits for what has to come; how long it took is never judged.
func (c *cluster) eventually(what string, holds func() bool) {
	c.t.Helper()
	for range 1200 {
		if holds() {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	c.t.Fatalf("it did not come to this: %s", what)
}

type answer struct {
	status  int
	outcome string
	body    string
}

func (c *cluster) call(i int, method, path, body string, headers ...string) answer {
	request, err := http.NewRequest(method, "http://"+c.nodes[i].settings.CallersAddress+path, strings.NewReader(body))
	assert.NilError(c.t, err)
	request.Header.Set("Authorization", "Bearer key1")
	for j := 0; j+1 < len(headers); j += 2 {
		request.Header.Set(headers[j], headers[j+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{outcome: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{status: response.StatusCode, outcome: err.Error(), body: string(read)}
	}
	return answer{status: response.StatusCode, outcome: response.Header.Get("X-Outcome"), body: string(read)}
}

// ask sends a prompt and checks that the answer is whole and its own.
func (c *cluster) ask(i int, prompt string, tokens int) bool {
	c.t.Helper()
	body, _ := json.Marshal(map[string]any{"model": "m", "prompt": prompt, "max_tokens": tokens})
	got := c.call(i, http.MethodPost, "/v1/completions", string(body))
	if got.status != http.StatusOK {
		c.t.Logf("%s: %d %s %s", prompt, got.status, got.outcome, got.body)
		return false
	}
	var decoded struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	assert.NilError(c.t, json.NewDecoder(bytes.NewReader([]byte(got.body))).Decode(&decoded))
	assert.Equal(c.t, decoded.Choices[0].Text, fakes.CompletionText(prompt, tokens))
	return true
}
