package front

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hickorybend/core/intent"
	"hickorybend/core/route"
	"hickorybend/core/view"
	"hickorybend/io/engine"
)

// scriptedEngine is an engine that writes a fixed response as fast as it is read.
// It uses as little processor time as an engine can, so that the benchmarks
// measure the relay.
type scriptedEngine struct {
	tokens int
	hold   chan struct{} // if set, the stream waits after its first token until this is closed
}

func (scriptedengine scriptedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Request-Id")
	flusher := w.(http.Flusher)
	w.WriteHeader(http.StatusOK)
	for i := range scriptedengine.tokens {
		reason := "null"
		if i == scriptedengine.tokens-1 {
			reason = `"length"`
		}
		_, _ = fmt.Fprintf(w, `data: {"id":%q,"object":"text_completion","model":"m","offset":%d,"tokens":1,"choices":[{"index":0,"text":"word ","finish_reason":%s}]}`+"\n\n", id, i, reason)
		flusher.Flush()
		if i == 0 && scriptedengine.hold != nil {
			<-scriptedengine.hold
		}
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// newRelayServers starts an engine and a gateway in front of it.
func newRelayServers(b *testing.B, scriptedengine scriptedEngine) (*httptest.Server, *httptest.Server) {
	engineServer := httptest.NewServer(scriptedengine)
	b.Cleanup(engineServer.Close)
	replicastate := &route.ReplicaState{}
	start := time.Now()
	replicastate.SetCompleteUntil(start, start.Add(time.Hour))
	server := New("n", nil, engine.New(), nil)
	server.view = newBenchmarkView(start, strings.TrimPrefix(engineServer.URL, "http://"), replicastate)
	gateway := httptest.NewServer(server.Handler())
	b.Cleanup(gateway.Close)
	return engineServer, gateway
}

const benchBody = `{"model":"m","prompt":"some prompt","max_tokens":100,"stream":true}`

func readStream(b *testing.B, url string) {
	request, _ := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(benchBody))
	request.Header.Set("Authorization", "Bearer key1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil || !bytes.HasSuffix(body, []byte("[DONE]\n\n")) {
		b.Fatalf("incomplete response: %v", err)
	}
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRelay compares responses of 100 tokens through a node with the same
// responses read directly from the engine, both in this process. The metric
// cpu-us/token is the processor time of engine, client and, in one case, the node.
func BenchmarkRelay(b *testing.B) {
	const tokens = 100
	engineServer, gateway := newRelayServers(b, scriptedEngine{tokens: tokens})
	for _, target := range []struct{ name, url string }{{"direct", engineServer.URL}, {"through", gateway.URL}} {
		b.Run(target.name, func(b *testing.B) {
			before := cpuTime()
			b.SetParallelism(4)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					readStream(b, target.url)
				}
			})
			b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N)/tokens, "cpu-us/token")
		})
	}
}

// BenchmarkOpenStreamMemory holds 100 streams open and reports how much the
// memory of the process grew per stream. The engine and the client run in the
// same process: the direct case measures them alone, and its figure has to be
// subtracted from that of the other case.
func BenchmarkOpenStreamMemory(b *testing.B) {
	const open = 100
	for _, through := range []bool{false, true} {
		name := map[bool]string{false: "direct", true: "through"}[through]
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				hold := make(chan struct{})
				engineServer, gateway := newRelayServers(b, scriptedEngine{tokens: 3, hold: hold})
				url := engineServer.URL
				if through {
					url = gateway.URL
				}
				before := memoryInUse()
				var streams sync.WaitGroup
				var started sync.WaitGroup
				started.Add(open)
				for range open {
					streams.Go(func() { openStream(b, url, &started) })
				}
				started.Wait()
				b.ReportMetric(float64(memoryInUse()-before)/open/1024, "KiB/stream")
				close(hold)
				streams.Wait()
			}
		})
	}
}

// memoryInUse returns the bytes of heap and stacks in use after a collection.
func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

// openStream reads a stream over a bare TCP connection, so that the client uses
// little memory.
func openStream(b *testing.B, url string, started *sync.WaitGroup) {
	connection, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		b.Error(err)
		started.Done()
		return
	}
	defer func() { _ = connection.Close() }()
	_, _ = fmt.Fprintf(connection, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(benchBody), benchBody)
	reader := bufio.NewReaderSize(connection, 512)
	for {
		line, err := reader.ReadString('\n')
		if err != nil || strings.HasPrefix(line, "data: ") {
			break
		}
	}
	started.Done()
	_, _ = io.Copy(io.Discard, reader)
}

func newBenchmarkView(start time.Time, address string, replicastate *route.ReplicaState) *atomic.Pointer[view.View] {
	pointer := &atomic.Pointer[view.View]{}
	pointer.Store(&view.View{
		Serving: true, Nodes: 1, Teams: testTeams,
		Models: []view.ModelService{{Service: intent.Service{Name: "llm", Kind: intent.KindModel, Model: "m"}, Table: &route.Table{
			Policy: route.DefaultPolicy(), Start: start,
			Replicas: []route.Replica{{ID: "r1", Epoch: 1, Address: address, MaxStreams: 1 << 20, State: replicastate}},
		}}},
	})
	return pointer
}

// BenchmarkFirstToken sends 115 requests per second, which is half of ten times a
// node's share at the target size, and reports the time to the first event,
// directly from the engine and through a node.
func BenchmarkFirstToken(b *testing.B) {
	const perSecond, requests = 115, 800
	engineServer, gateway := newRelayServers(b, scriptedEngine{tokens: 20})
	for _, target := range []struct{ name, url string }{{"direct", engineServer.URL}, {"through", gateway.URL}} {
		b.Run(target.name, func(b *testing.B) {
			for b.Loop() {
				times := hdrhistogram.New(1, 10_000_000, 3)
				var mutex sync.Mutex
				var open sync.WaitGroup
				startedAt := time.Now()
				for i := range requests {
					due := startedAt.Add(time.Duration(i) * time.Second / perSecond)
					time.Sleep(time.Until(due))
					open.Go(func() {
						took := timeToFirstEvent(b, target.url)
						mutex.Lock()
						defer mutex.Unlock()
						_ = times.RecordValue(took.Microseconds())
					})
				}
				open.Wait()
				b.ReportMetric(float64(times.ValueAtQuantile(50)), "p50-us")
				b.ReportMetric(float64(times.ValueAtQuantile(99)), "p99-us")
			}
		})
	}
}

func timeToFirstEvent(b *testing.B, url string) time.Duration {
	startedAt := time.Now()
	request, _ := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(benchBody))
	request.Header.Set("Authorization", "Bearer key1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.Error(err)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	reader := bufio.NewReader(response.Body)
	if _, err := reader.ReadString('\n'); err != nil {
		b.Error(err)
	}
	took := time.Since(startedAt)
	_, _ = io.Copy(io.Discard, reader)
	return took
}
