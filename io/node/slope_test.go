package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"hickorybend/core/config"
	"hickorybend/core/group"
	"hickorybend/core/intent"
	"hickorybend/core/roster"
	"hickorybend/core/rows"
	"hickorybend/core/watch"
	"hickorybend/io/conf"
	"hickorybend/io/engine"
	"hickorybend/io/fakes"
	"hickorybend/io/hosts"
	"hickorybend/io/meter"
	"hickorybend/io/peers"
	"hickorybend/io/table"
	"hickorybend/io/wire"
)

// linearFit fits a line to values measured at several sizes.
type linearFit struct {
	sizes  []float64
	values []float64
}

func (linearfit *linearFit) add(size int, value float64) {
	linearfit.sizes = append(linearfit.sizes, float64(size))
	linearfit.values = append(linearfit.values, value)
}

// fit returns the constant and the value per unit, by least squares.
func (linearfit *linearFit) fit() (float64, float64) {
	n, sumX, sumY, sumXX, sumXY := float64(len(linearfit.sizes)), 0.0, 0.0, 0.0, 0.0
	for i, x := range linearfit.sizes {
		sumX, sumY = sumX+x, sumY+linearfit.values[i]
		sumXX, sumXY = sumXX+x*x, sumXY+x*linearfit.values[i]
	}
	perUnit := (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	return (sumY - perUnit*sumX) / n, perUnit
}

func (linearfit *linearFit) print(t *testing.T, name, unit, per string) {
	constant, perUnit := linearfit.fit()
	t.Logf("%-34s sizes %v values %.4g %s: %.4g + %.4g for each %s", name, linearfit.sizes, linearfit.values, unit, constant, perUnit, per)
}

func usedCPU() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// cpuPerRun returns the CPU time of one run in microseconds, averaged over the runs.
func cpuPerRun(runs int, work func()) float64 {
	before := usedCPU()
	for range runs {
		work()
	}
	return float64((usedCPU() - before).Nanoseconds()) / float64(runs) / 1000
}

func heapAlloc() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

const hostsPerReplica = 8

// newTestControl returns a control whose state holds the given number of replicas, each
// of hostsPerReplica hosts.
func newTestControl(replicas int) *Control {
	settings := conf.Defaults()
	settings.Node, settings.Zone = "n", "z0"
	control := NewControl(settings, roster.Node{Name: "n", Zone: "z0"}, Dependencies{}, zap.NewNop(), meter.New())
	now := time.Now()
	control.spec = &intent.Spec{
		Zones:    []intent.Zone{{Name: "z0", Region: "r"}},
		Services: []intent.Service{{Name: "s", Kind: intent.KindModel, Model: "m", Version: "1", HostsPerReplica: hostsPerReplica, ReplicaStreams: 16}},
	}
	control.listedHosts = map[string]hosts.Host{}
	for r := range replicas {
		replica := group.Replica{ID: fmt.Sprintf("s-%08d", r), Service: "s", Zone: "z0", Domain: "d", Model: "m", Version: "1", Epoch: 1, State: group.StateServing, Revision: 2, WriteIDs: []string{"w1", "w2"}}
		for h := range hostsPerReplica {
			name := fmt.Sprintf("host-%06d-%d", r, h)
			address := fmt.Sprintf("10.0.%d.%d:9000", r%256, h)
			replica.Members = append(replica.Members, group.Member{Host: name, Address: address, Incarnation: name + "/1", Rank: h})
			control.listedHosts[name] = hosts.Host{Name: name, Address: address, Zone: "z0", Domain: "d", Service: "s"}
			control.probes[name] = &probe{dueAt: now.Add(time.Hour)}
			control.lastSeen[name] = now
			control.tracker.Record(watch.Observation{At: now.Add(time.Hour), Status: watch.Status{
				Host: name, Incarnation: name + "/1", Replica: replica.ID, Epoch: 1, Rank: h, Model: "m", Version: "1", Ready: true,
			}})
		}
		control.updateReplica(replica.Row())
	}
	return control
}

// TestSlopes takes the measurements from which the figures of docs/CAPACITY.md are
// calculated. It checks no results, so it runs only if HICKORYBEND_SLOPES is set.
func TestSlopes(t *testing.T) {
	if os.Getenv("HICKORYBEND_SLOPES") == "" {
		t.Skip("HICKORYBEND_SLOPES is not set")
	}
	measureState(t)
	measureProbes(t)
	measureStore(t)
	measurePeers(t)
	measureConfig(t)
}

func measureState(t *testing.T) {
	var memory, publish, tick, update linearFit
	for _, replicas := range []int{75, 300, 1500} {
		before := heapAlloc()
		control := newTestControl(replicas)
		control.publish(time.Now())
		memory.add(replicas, float64(heapAlloc()-before)/1024)
		publish.add(replicas, cpuPerRun(20, func() {
			control.publishAt, control.reportAt = time.Time{}, time.Now().Add(time.Hour)
			control.publish(time.Now())
		}))
		tick.add(replicas, cpuPerRun(200, func() { control.probeAll(time.Now()) }))
		listed := control.replicaRows()
		update.add(replicas, cpuPerRun(20, func() {
			control.updateReplicas("s", listed)
			control.replicaRows()
		}))
		runtime.KeepAlive(control)
	}
	update.print(t, "update by unchanged replica rows", "us", "replica")
	memory.print(t, "control state", "KiB", "replica of 8 hosts")
	publish.print(t, "publishing a view", "us", "replica")
	tick.print(t, "checking for probes due", "us", "replica of 8 hosts")
}

// byteCounter counts the bytes of all connections of a client.
type byteCounter struct {
	in, out atomic.Int64
}

type countingConn struct {
	net.Conn
	counter *byteCounter
}

func (countingconn countingConn) Read(b []byte) (int, error) {
	n, err := countingconn.Conn.Read(b)
	countingconn.counter.in.Add(int64(n))
	return n, err
}

func (countingconn countingConn) Write(b []byte) (int, error) {
	n, err := countingconn.Conn.Write(b)
	countingconn.counter.out.Add(int64(n))
	return n, err
}

func (bytecounter *byteCounter) client() *http.Client {
	dialer := &net.Dialer{}
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		return countingConn{Conn: conn, counter: bytecounter}, err
	}}}
}

// serveRaw starts a server that answers every request with the same bytes, which costs
// little CPU time. That cost is still part of what is measured.
func serveRaw(t *testing.T, body string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(body))
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func measureProbes(t *testing.T) {
	body := `{"host":"host-000001-1","incarnation":"host-000001-1/1","replica":"s-00000001","epoch":1,"rank":1,"model":"m","version":"1","ready":true,"running":3,"waiting":0}`
	address := serveRaw(t, body)
	client := engine.New()
	var cost linearFit
	for _, probes := range []int{500, 2000, 4000} {
		before := usedCPU()
		for range probes {
			_, err := client.Probe(t.Context(), address)
			assert.NilError(t, err)
		}
		cost.add(probes, float64((usedCPU() - before).Microseconds()))
	}
	cost.print(t, "probes, both ends", "us", "probe")
	var counter byteCounter
	for range 100 {
		response, err := counter.client().Get("http://" + address + "/status")
		assert.NilError(t, err)
		_ = response.Body.Close()
	}
	t.Logf("%-34s %d bytes out, %d in", "one probe on the wire", counter.out.Load()/100, counter.in.Load()/100)
}

func measureStore(t *testing.T) {
	fake := fakes.NewTable()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: fake}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	var counter byteCounter
	store := table.New(table.Options{Endpoint: "http://" + listener.Addr().String(), Table: "t", Region: "r", KeyID: "k", Secret: "s", HTTP: counter.client()})
	ctx := t.Context()
	var listCPU, listBytes linearFit
	control := newTestControl(300)
	stored := 0
	for _, replica := range control.replicas["s"] {
		row := replica.Row()
		partition := "replica/300"
		if stored < 75 {
			store.Commit(ctx, rows.Txn{WriteID: "w", Ops: []rows.Op{rows.Put{Key: rows.Key{Partition: "replica/75", Sort: row.Key.Sort}, Body: row.Body}}})
		}
		store.Commit(ctx, rows.Txn{WriteID: "w", Ops: []rows.Op{rows.Put{Key: rows.Key{Partition: partition, Sort: row.Key.Sort}, Body: row.Body}}})
		stored++
	}
	for _, size := range []int{75, 300} {
		counter.in.Store(0)
		listCPU.add(size, cpuPerRun(20, func() {
			_, err := store.List(ctx, fmt.Sprintf("replica/%d", size))
			assert.NilError(t, err)
		}))
		listBytes.add(size, float64(counter.in.Load())/20)
	}
	listCPU.print(t, "listing replica rows, both ends", "us", "row")
	listBytes.print(t, "listing replica rows", "bytes", "row")
	counter.in.Store(0)
	counter.out.Store(0)
	get := cpuPerRun(200, func() { _, _ = store.Get(ctx, config.HeadKey()) })
	t.Logf("%-34s %.0f us both ends, %d bytes out, %d in", "reading the head", get, counter.out.Load()/200, counter.in.Load()/200)
}

type noopLocal struct{}

func (noopLocal) ReceiveRows([]rows.Row) {}
func (noopLocal) ConfigStatus(int64) peers.ConfigStatus {
	return peers.ConfigStatus{Zone: "z", Head: 1}
}
func (noopLocal) Notify(context.Context, peers.ChangeNotice) error { return nil }

func measurePeers(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	_, handler := peers.Handler(noopLocal{}, "k")
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	var counter byteCounter
	client := peers.NewClient(counter.client(), wire.Scheme(nil), "k")
	address := listener.Addr().String()
	var cost, size linearFit
	for _, body := range []int{200, 2000, 8000} {
		changed := []rows.Row{{Key: config.SectionKey("service/x"), Version: 2, Body: []byte(strings.Repeat("x", body))}}
		counter.out.Store(0)
		counter.in.Store(0)
		cost.add(body, cpuPerRun(300, func() { _ = client.Push(t.Context(), address, changed) }))
		size.add(body, float64(counter.out.Load()+counter.in.Load())/300)
	}
	cost.print(t, "pushing one row, both ends", "us", "byte of its body")
	size.print(t, "pushing one row, both ways", "bytes", "byte of its body")
	counter.out.Store(0)
	counter.in.Store(0)
	notify := cpuPerRun(300, func() { _ = client.Notify(t.Context(), address, peers.ChangeNotice{ID: "0123456789", Version: 3}) })
	t.Logf("%-34s %.0f us both ends, %d bytes both ways", "notice of a change", notify, (counter.out.Load()+counter.in.Load())/300)
}

func measureConfig(t *testing.T) {
	var apply, memory linearFit
	for _, teams := range []int{100, 400, 1600} {
		spec := &intent.Spec{Deployment: "d", Zones: []intent.Zone{{Name: "z", Region: "r"}}}
		for i := range teams {
			spec.Teams = append(spec.Teams, intent.Team{Name: fmt.Sprintf("team-%d", i), KeySHA256: []string{wire.HashKey(fmt.Sprint(i))}, Priority: intent.PriorityLive, RequestsPerSecond: 1, TokensPerSecond: 1, MaxConcurrent: 1})
		}
		before := heapAlloc()
		cache := config.NewCache(time.Second)
		var all []rows.Row
		for _, section := range spec.Sections() {
			all = append(all, rows.Row{Key: config.SectionKey(section.Name), Version: 1, Body: section.Body})
		}
		cache.Update(all)
		changed := config.SectionsOf(all)[len(all)/2]
		apply.add(teams, cpuPerRun(50, func() { _, _ = spec.WithSection(changed) }))
		memory.add(teams, float64(heapAlloc()-before)/1024)
		runtime.KeepAlive(cache)
	}
	apply.print(t, "applying one changed section", "us", "section")
	memory.print(t, "configuration cache", "KiB", "section")
}
