package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hickorybend/platform/fakes"
)

// The load and the disruption of the case "memory".
const (
	memoryNodes    = 3
	memoryRunners  = 60 // of the model service, in domains of ten
	streamCallers  = 240
	plainCallers   = 30
	streamEvents   = 35
	streamInterval = 40 * time.Millisecond
	endlessHeads   = 6       // first hosts of replicas whose answers have no end: a tenth of the runners
	endlessRate    = 3 << 20 // bytes a second on one connection
	endlessFor     = 30 * time.Second
	maxLost        = 3 // channels that a machine may close without an answer
)

// endless is the way to a runner, and the runner itself in trouble: then its answers to
// requests of callers are a head with status 500 and a body that goes on until the caller closes.
type endless struct {
	address string
	server  *http.Server
	on      atomic.Bool
	sent    atomic.Int64
}

func newEndless(target string) (*endless, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	runner := &endless{address: listener.Addr().String()}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: target})
	proxy.FlushInterval = -1
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	runner.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if runner.on.Load() && r.Header.Get("X-Hickorybend-Attempt-Id") != "" {
			runner.serve(w, r)
			return
		}
		proxy.ServeHTTP(w, r)
	})}
	go func() { _ = runner.server.Serve(listener) }()
	return runner, nil
}

// serve answers a request with a body without end.
func (endless *endless) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("X-Hickorybend-Attempt-Id", r.Header.Get("X-Hickorybend-Attempt-Id"))
	w.WriteHeader(http.StatusInternalServerError)
	chunk := []byte(strings.Repeat("x", 64<<10))
	pause := time.Duration(float64(len(chunk)) / endlessRate * float64(time.Second))
	for next := time.Now(); r.Context().Err() == nil; next = next.Add(pause) {
		time.Sleep(time.Until(next))
		count, err := w.Write(chunk)
		endless.sent.Add(int64(count))
		if err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// anonymousMB returns the anonymous memory of a process, without its program and the bytes in
// its sockets.
func anonymousMB(pid int) int {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if fields := strings.Fields(lines.Text()); len(fields) > 1 && fields[0] == "RssAnon:" {
			kilobytes, _ := strconv.Atoi(fields[1])
			return kilobytes >> 10
		}
	}
	return 0
}

// memoryRun is one run of the case.
type memoryRun struct {
	*cluster
	stop    chan struct{}
	group   sync.WaitGroup
	kills   atomic.Int64
	peaks   []atomic.Int64
	mutex   sync.Mutex
	beganAt map[string]string // the sound runner that began a request
	lost    map[string]int    // channels that ended without any byte of an answer, by node
	cut     map[string]int    // those that ended within an answer
	sent    int
	good    int
}

// memoryCase plays the platform that kills a process over its memory limit, as the pages say.
func memoryCase(record *record) error {
	cluster, err := newCluster(record)
	if err != nil {
		return err
	}
	defer cluster.close()
	run := &memoryRun{cluster: cluster, stop: make(chan struct{}), peaks: make([]atomic.Int64, memoryNodes), beganAt: map[string]string{}, lost: map[string]int{}, cut: map[string]int{}}
	cluster.began = func(execution fakes.Execution) {
		run.mutex.Lock()
		defer run.mutex.Unlock()
		run.beganAt[execution.RequestID] = execution.Runner
	}
	cluster.store.Put("op", "config", config(1, false))
	ways := map[string]*endless{}
	for index := range memoryRunners {
		id := fmt.Sprintf("m-%d", index)
		runner := cluster.addRunner(fakes.ServiceModels, id, fmt.Sprintf("domain-%d", index/10), fakes.WithEvents(streamEvents, streamInterval))
		way, err := newEndless(runner.Address())
		if err != nil {
			return err
		}
		defer func() { _ = way.server.Close() }()
		ways[id] = way
		cluster.mutex.Lock()
		cluster.address[id] = way.address
		cluster.mutex.Unlock()
	}
	for index := range 3 {
		cluster.addRunner(fakes.ServicePlain, fmt.Sprintf("p-%d", index), "")
	}
	if err := cluster.addNodes(memoryNodes); err != nil {
		return err
	}
	if err := cluster.waitReady(20); err != nil {
		return err
	}
	for index, node := range cluster.nodes {
		run.group.Go(func() { run.watch(index, node) })
	}
	for index := range streamCallers + plainCallers {
		run.group.Go(func() { run.call(index) })
	}
	time.Sleep(5 * time.Second)
	run.report("before")
	if trouble() {
		left := endlessHeads
		for _, runner := range cluster.runners {
			if runner.service == fakes.ServiceModels && runner.IsOpen() && left > 0 {
				left--
				ways[runner.ID].on.Store(true)
				record.line("%s is in trouble: its answers have no end", runner.ID)
			}
		}
	}
	time.Sleep(endlessFor)
	close(run.stop)
	run.group.Wait()
	run.report("at the end")
	for _, way := range ways {
		if sent := way.sent.Load(); sent > 0 {
			record.line("a runner in trouble sent %d MB", sent>>20)
		}
	}
	return run.judge()
}

// watch is the platform: it kills a process that has more memory than its limit, and starts it
// again after a short delay.
func (run *memoryRun) watch(index int, node *node) {
	for {
		select {
		case <-run.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		memory := int64(anonymousMB(node.pid()))
		run.peaks[index].Store(max(run.peaks[index].Load(), memory))
		if memory <= memoryMB {
			continue
		}
		run.record.summary("%s has %d MB of memory, its limit is %d: the platform kills it", node.name, memory, memoryMB)
		run.kills.Add(1)
		node.signal(syscall.SIGKILL)
		<-node.ended()
		time.Sleep(500 * time.Millisecond)
		_ = node.start(run.dir)
	}
}

// call is one caller. It keeps its channel for many requests.
func (run *memoryRun) call(index int) {
	node := run.nodes[index%len(run.nodes)]
	caller := &fakes.Caller{Address: node.callers()}
	defer caller.Disconnect()
	kept := false
	for number := 0; ; number++ {
		select {
		case <-run.stop:
			return
		default:
		}
		request := fakes.Request{Method: http.MethodPost, Path: "/draft/x", ID: fmt.Sprintf("c%d-%d", index, number), Key: "key-1", Model: fakes.ModelLarge, Tokens: "1420,170", Timeout: 8 * time.Second}
		pause := time.Duration(50+rand.IntN(200)) * time.Millisecond
		switch {
		case index >= streamCallers:
			request.Path, request.Model, request.Timeout, request.Body = "/confirm/x", "", 3*time.Second, []byte("order")
			pause = 20 * time.Millisecond
		case number%2 == 0:
			request.Model = fakes.ModelSmall
		}
		answer := caller.Do(request, request.Timeout+time.Second)
		run.count(node, request, answer, kept)
		kept = answer.Err == nil && answer.Header.Get("Connection") != "close"
		if answer.Err != nil {
			pause = time.Second
		}
		time.Sleep(pause)
	}
}

// count counts the outcome of a request.
func (run *memoryRun) count(node *node, request fakes.Request, answer fakes.Answer, kept bool) {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	runner := run.beganAt[request.ID]
	run.sent++
	run.record.line("%s %s to %s, kept channel %t, begun by %q: status %d, %d bytes, error %v", request.ID, request.Path, node.name, kept, runner, answer.Status, len(answer.Body), answer.Err)
	switch {
	case answer.Err == nil && answer.Status == http.StatusOK:
		run.good++
	case answer.Err != nil && kept && runner != "" && answer.Status == 0:
		run.lost[node.name]++
	case answer.Err != nil && kept && runner != "":
		run.cut[node.name]++
	}
}

func (run *memoryRun) report(when string) {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	var peaks []int64
	for index := range run.peaks {
		peaks = append(peaks, run.peaks[index].Load())
	}
	run.record.summary("%s: %d requests, %d served; most memory of the nodes %v MB; killed for memory %d times; kept channels that ended at sound runners without any answer %v, within an answer %v",
		when, run.sent, run.good, peaks, run.kills.Load(), run.lost, run.cut)
}

// judge applies the rule LOST: a machine closes more than three kept channels without an answer
// whose requests it has passed on to sound runners.
func (run *memoryRun) judge() error {
	for name, count := range run.lost {
		if count > maxLost {
			return fmt.Errorf("%w: LOST, %s closed %d kept channels without an answer", errBroken, name, count)
		}
	}
	return nil
}
