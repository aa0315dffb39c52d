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

// scripted is an engine that writes its whole answer as fast as it is read; it
// costs as little as an engine can, so that what is measured is the relay.
type scripted struct {
	tokens int
	hold   chan struct{}
}

func (scripted scripted) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Request-Id")
	flusher := w.(http.Flusher)
	w.WriteHeader(http.StatusOK)
	for i := range scripted.tokens {
		reason := "null"
		if i == scripted.tokens-1 {
			reason = `"length"`
		}
		_, _ = fmt.Fprintf(w, `data: {"id":%q,"object":"text_completion","model":"m","offset":%d,"tokens":1,"choices":[{"index":0,"text":"word ","finish_reason":%s}]}`+"\n\n", id, i, reason)
		flusher.Flush()
		if i == 0 && scripted.hold != nil {
			<-scripted.hold
		}
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func relayDoor(b *testing.B, scripted scripted) (*httptest.Server, *httptest.Server) {
	back := httptest.NewServer(scripted)
	b.Cleanup(back.Close)
	replicastate := &route.ReplicaState{}
	start := time.Now()
	replicastate.SetCompleteUntil(start, start.Add(time.Hour))
	server := New("n", nil, engine.New(), nil)
	server.view = newBenchView(start, strings.TrimPrefix(back.URL, "http://"), replicastate)
	door := httptest.NewServer(server.Handler())
	b.Cleanup(door.Close)
	return back, door
}

const benchBody = `{"model":"m","prompt":"some prompt","max_tokens":100,"stream":true}`

func stream(b *testing.B, url string) {
	request, _ := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(benchBody))
	request.Header.Set("Authorization", "Bearer key1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil || !bytes.HasSuffix(body, []byte("[DONE]\n\n")) {
		b.Fatalf("the answer is not whole: %v", err)
	}
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRelay compares answers of 100 tokens through a node with the same
// straight from the engine, both in this process. The figure cpu-us/token is
// processor time of all of it: engine, client, and, in one case, the node.
func BenchmarkRelay(b *testing.B) {
	const tokens = 100
	back, door := relayDoor(b, scripted{tokens: tokens})
	for _, target := range []struct{ name, url string }{{"direct", back.URL}, {"through", door.URL}} {
		b.Run(target.name, func(b *testing.B) {
			before := cpuTime()
			b.SetParallelism(4)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					stream(b, target.url)
				}
			})
			b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N)/tokens, "cpu-us/token")
		})
	}
}

// BenchmarkOpenStreamMemory holds many streams open and reports what the
// node's process grew by; the engine and the client stand in the same process
// and are measured in the first case and taken off by the reader.
func BenchmarkOpenStreamMemory(b *testing.B) {
	const open = 100
	for _, through := range []bool{false, true} {
		name := map[bool]string{false: "direct", true: "through"}[through]
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				hold := make(chan struct{})
				back, door := relayDoor(b, scripted{tokens: 3, hold: hold})
				url := back.URL
				if through {
					url = door.URL
				}
				before := inUse()
				var streams sync.WaitGroup
				var begun sync.WaitGroup
				begun.Add(open)
				for range open {
					streams.Go(func() { holdOpen(b, url, &begun) })
				}
				begun.Wait()
				b.ReportMetric(float64(inUse()-before)/open/1024, "KiB/stream")
				close(hold)
				streams.Wait()
			}
		})
	}
}

func inUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

// holdOpen reads by a bare connection, so that the client costs little.
func holdOpen(b *testing.B, url string, begun *sync.WaitGroup) {
	connection, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		b.Error(err)
		begun.Done()
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
	begun.Done()
	_, _ = io.Copy(io.Discard, reader)
}

func newBenchView(start time.Time, address string, replicastate *route.ReplicaState) *atomic.Pointer[view.View] {
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

// BenchmarkFirstToken sends requests at half of ten times a node's share at the
// target size and reports the time to the first event, direct and through.
func BenchmarkFirstToken(b *testing.B) {
	const perSecond, requests = 115, 800
	back, door := relayDoor(b, scripted{tokens: 20})
	for _, target := range []struct{ name, url string }{{"direct", back.URL}, {"through", door.URL}} {
		b.Run(target.name, func(b *testing.B) {
			for b.Loop() {
				times := hdrhistogram.New(1, 10_000_000, 3)
				var mutex sync.Mutex
				var open sync.WaitGroup
				begun := time.Now()
				for i := range requests {
					due := begun.Add(time.Duration(i) * time.Second / perSecond)
					time.Sleep(time.Until(due))
					open.Go(func() {
						took := firstEvent(b, target.url)
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

func firstEvent(b *testing.B, url string) time.Duration {
	begun := time.Now()
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
	took := time.Since(begun)
	_, _ = io.Copy(io.Discard, reader)
	return took
}
