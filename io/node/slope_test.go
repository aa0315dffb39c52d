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

// slope is a line through what was measured at several sizes.
type slope struct {
	sizes  []float64
	values []float64
}

func (slope *slope) add(size int, value float64) {
	slope.sizes = append(slope.sizes, float64(size))
	slope.values = append(slope.values, value)
}

// fit gives the constant and the part for each unit, by least squares.
func (slope *slope) fit() (float64, float64) {
	n, sumX, sumY, sumXX, sumXY := float64(len(slope.sizes)), 0.0, 0.0, 0.0, 0.0
	for i, x := range slope.sizes {
		sumX, sumY = sumX+x, sumY+slope.values[i]
		sumXX, sumXY = sumXX+x*x, sumXY+x*slope.values[i]
	}
	each := (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	return (sumY - each*sumX) / n, each
}

func (slope *slope) print(t *testing.T, what, unit, per string) {
	constant, each := slope.fit()
	t.Logf("%-34s sizes %v values %.4g %s: %.4g + %.4g for each %s", what, slope.sizes, slope.values, unit, constant, each, per)
}

func usedCPU() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// cpuOf gives the processor time of one of many runs, in microseconds.
func cpuOf(runs int, work func()) float64 {
	before := usedCPU()
	for range runs {
		work()
	}
	return float64((usedCPU() - before).Nanoseconds()) / float64(runs) / 1000
}

func heapNow() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

const slopeHosts = 8

// filled makes a control that knows so many replicas of eight hosts.
func filled(replicas int) *Control {
	settings := conf.Defaults()
	settings.Node, settings.Zone = "n", "z0"
	control := NewControl(settings, roster.Node{Name: "n", Zone: "z0"}, Dependencies{}, zap.NewNop(), meter.New())
	now := time.Now()
	control.text = &intent.Spec{
		Zones:    []intent.Zone{{Name: "z0", Region: "r"}},
		Services: []intent.Service{{Name: "s", Kind: intent.KindModel, Model: "m", Version: "1", HostsPerReplica: slopeHosts, ReplicaStreams: 16}},
	}
	control.listed = map[string]hosts.Host{}
	for r := range replicas {
		replica := group.Replica{ID: fmt.Sprintf("s-%08d", r), Service: "s", Zone: "z0", Domain: "d", Model: "m", Version: "1", Epoch: 1, State: group.StateServing, Revision: 2, Writes: []string{"w1", "w2"}}
		for h := range slopeHosts {
			name := fmt.Sprintf("host-%06d-%d", r, h)
			address := fmt.Sprintf("10.0.%d.%d:9000", r%256, h)
			replica.Members = append(replica.Members, group.Member{Host: name, Address: address, Incarnation: name + "/1", Rank: h})
			control.listed[name] = hosts.Host{Name: name, Address: address, Zone: "z0", Domain: "d", Service: "s"}
			control.probes[name] = &probe{dueAt: now.Add(time.Hour)}
			control.lastSeen[name] = now
			control.board.Record(watch.Observation{At: now.Add(time.Hour), Status: watch.Status{
				Host: name, Incarnation: name + "/1", Replica: replica.ID, Epoch: 1, Rank: h, Model: "m", Version: "1", Ready: true,
			}})
		}
		control.takeReplica(replica.Row())
	}
	return control
}

// TestSlopes measures what docs/CAPACITY.md is worked out from; it is turned on
// by HICKORYBEND_SLOPES, since it measures and does not judge.
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
	var memory, publish, tick, polled slope
	for _, replicas := range []int{75, 300, 1500} {
		before := heapNow()
		control := filled(replicas)
		control.publish(time.Now())
		memory.add(replicas, float64(heapNow()-before)/1024)
		publish.add(replicas, cpuOf(20, func() {
			control.publishAt, control.reportAt = time.Time{}, time.Now().Add(time.Hour)
			control.publish(time.Now())
		}))
		tick.add(replicas, cpuOf(200, func() { control.probeAll(time.Now()) }))
		listed := control.replicaRows()
		polled.add(replicas, cpuOf(20, func() {
			control.takeReplicas("s", listed)
			control.replicaRows()
		}))
		runtime.KeepAlive(control)
	}
	polled.print(t, "a list of unchanged rows taken in", "us", "replica")
	memory.print(t, "control state", "KiB", "replica of 8 hosts")
	publish.print(t, "one view published", "us", "replica")
	tick.print(t, "one look at the probes due", "us", "replica of 8 hosts")
}

// counting counts the bytes of all connections of a client.
type counting struct {
	in, out atomic.Int64
}

type countedConn struct {
	net.Conn
	counting *counting
}

func (countedconn countedConn) Read(b []byte) (int, error) {
	n, err := countedconn.Conn.Read(b)
	countedconn.counting.in.Add(int64(n))
	return n, err
}

func (countedconn countedConn) Write(b []byte) (int, error) {
	n, err := countedconn.Conn.Write(b)
	countedconn.counting.out.Add(int64(n))
	return n, err
}

func (counting *counting) client() *http.Client {
	dialer := &net.Dialer{}
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		return countedConn{Conn: conn, counting: counting}, err
	}}}
}

// serveRaw answers every request with the same bytes, for as little as a
// server can cost; what it costs is measured with the client all the same.
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
	var cost slope
	for _, probes := range []int{500, 2000, 4000} {
		before := usedCPU()
		for range probes {
			_, err := client.Probe(t.Context(), address)
			assert.NilError(t, err)
		}
		cost.add(probes, float64((usedCPU() - before).Microseconds()))
	}
	cost.print(t, "probes, both ends", "us", "probe")
	var bytes counting
	for range 100 {
		answer, err := bytes.client().Get("http://" + address + "/status")
		assert.NilError(t, err)
		_ = answer.Body.Close()
	}
	t.Logf("%-34s %d bytes out, %d in", "one probe on the wire", bytes.out.Load()/100, bytes.in.Load()/100)
}

func measureStore(t *testing.T) {
	fake := fakes.NewTable()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: fake}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	var bytes counting
	store := table.New(table.Options{Endpoint: "http://" + listener.Addr().String(), Table: "t", Region: "r", KeyID: "k", Secret: "s", HTTP: bytes.client()})
	ctx := t.Context()
	var listCPU, listBytes slope
	control := filled(300)
	stored := 0
	for _, replica := range control.replicas["s"] {
		row := replica.Row()
		part := "replica/300"
		if stored < 75 {
			store.Commit(ctx, rows.Txn{WriteID: "w", Ops: []rows.Op{rows.Put{Key: rows.Key{Partition: "replica/75", Sort: row.Key.Sort}, Body: row.Body}}})
		}
		store.Commit(ctx, rows.Txn{WriteID: "w", Ops: []rows.Op{rows.Put{Key: rows.Key{Partition: part, Sort: row.Key.Sort}, Body: row.Body}}})
		stored++
	}
	for _, size := range []int{75, 300} {
		bytes.in.Store(0)
		listCPU.add(size, cpuOf(20, func() {
			_, err := store.List(ctx, fmt.Sprintf("replica/%d", size))
			assert.NilError(t, err)
		}))
		listBytes.add(size, float64(bytes.in.Load())/20)
	}
	listCPU.print(t, "a list of replica rows, both ends", "us", "row")
	listBytes.print(t, "a list of replica rows", "bytes", "row")
	bytes.in.Store(0)
	bytes.out.Store(0)
	get := cpuOf(200, func() { _, _ = store.Get(ctx, config.HeadKey()) })
	t.Logf("%-34s %.0f us both ends, %d bytes out, %d in", "a look at the head", get, bytes.out.Load()/200, bytes.in.Load()/200)
}

type deaf struct{}

func (deaf) ReceiveRows([]rows.Row)                           {}
func (deaf) ConfigStatus(int64) peers.ConfigStatus            { return peers.ConfigStatus{Zone: "z", Head: 1} }
func (deaf) Notify(context.Context, peers.ChangeNotice) error { return nil }

func measurePeers(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	_, handler := peers.Handler(deaf{}, "k")
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	var bytes counting
	client := peers.NewClient(bytes.client(), wire.Scheme(nil), "k")
	address := listener.Addr().String()
	var cost, size slope
	for _, body := range []int{200, 2000, 8000} {
		changed := []rows.Row{{Key: config.SectionKey("service/x"), Version: 2, Body: []byte(strings.Repeat("x", body))}}
		bytes.out.Store(0)
		bytes.in.Store(0)
		cost.add(body, cpuOf(300, func() { _ = client.Push(t.Context(), address, changed) }))
		size.add(body, float64(bytes.out.Load()+bytes.in.Load())/300)
	}
	cost.print(t, "a push of one row, both ends", "us", "byte of its body")
	size.print(t, "a push of one row, both ways", "bytes", "byte of its body")
	bytes.out.Store(0)
	bytes.in.Store(0)
	warn := cpuOf(300, func() { _ = client.Notify(t.Context(), address, peers.ChangeNotice{ID: "0123456789", Version: 3}) })
	t.Logf("%-34s %.0f us both ends, %d bytes both ways", "a warning of a change", warn, (bytes.out.Load()+bytes.in.Load())/300)
}

func measureConfig(t *testing.T) {
	var joined, memory slope
	for _, teams := range []int{100, 400, 1600} {
		spec := &intent.Spec{Deployment: "d", Zones: []intent.Zone{{Name: "z", Region: "r"}}}
		for i := range teams {
			spec.Teams = append(spec.Teams, intent.Team{Name: fmt.Sprintf("team-%d", i), KeySHA256: []string{wire.HashKey(fmt.Sprint(i))}, Priority: intent.PriorityLive, RequestsPerSecond: 1, TokensPerSecond: 1, Concurrent: 1})
		}
		before := heapNow()
		cache := config.NewCache(time.Second)
		var all []rows.Row
		for _, section := range spec.Sections() {
			all = append(all, rows.Row{Key: config.SectionKey(section.Name), Version: 1, Body: section.Body})
		}
		cache.Update(all)
		changed := config.SectionsOf(all)[len(all)/2]
		joined.add(teams, cpuOf(50, func() { _, _ = spec.WithSection(changed) }))
		memory.add(teams, float64(heapNow()-before)/1024)
		runtime.KeepAlive(cache)
	}
	joined.print(t, "one change taken into the text", "us", "section")
	memory.print(t, "configuration held", "KiB", "section")
}
