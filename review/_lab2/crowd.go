package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hickorybend/platform/fakes"
)

const (
	nodes           = 3
	crowdSize       = 2300                   // slow clients of each node, which has descriptors for 4,100
	crowdInterval   = 250 * time.Millisecond // between two bytes of a slow client
	ordinary        = 8                      // ordinary clients of each node
	ordinaryPause   = 200 * time.Millisecond // between two requests of an ordinary client
	crowdTime       = 30 * time.Second
	ownDescriptors  = 500                    // of this program, besides those of the crowd
	takenAfter      = 100 * time.Millisecond // a crowd's channel that is open for longer has been taken
	readinessPeriod = time.Second
)

// door is what became of the new channels of one node's ordinary clients.
type door struct {
	node       *node
	mutex      sync.Mutex
	served     int
	failures   map[string]int
	crowdTaken int         // channels of the crowd that the node has taken
	ends       []time.Time // when the node took a channel, of any client, or did not say that it is ready
}

// endSpan ends a span in which the node has taken no channel and has been ready. The mutex must be held.
func (door *door) endSpan(at time.Time) { door.ends = append(door.ends, at) }

// longest returns the longest such span.
func (door *door) longest() (longest time.Duration) {
	door.mutex.Lock()
	defer door.mutex.Unlock()
	slices.SortFunc(door.ends, time.Time.Compare)
	for i := 1; i < len(door.ends); i++ {
		longest = max(longest, door.ends[i].Sub(door.ends[i-1]))
	}
	return longest
}

// take counts a channel of the crowd that the node has taken.
func (door *door) take(at time.Time) {
	door.mutex.Lock()
	defer door.mutex.Unlock()
	door.crowdTaken++
	door.endSpan(at)
}

func playCrowd(world *world) (outcome, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < nodes*crowdSize+ownDescriptors {
		return outcomeUnrun, fmt.Errorf("this program may have %d descriptors only", limit.Cur)
	}
	world.store.Put("op", "config", fakes.Deployment{Version: 1, Keys: []string{key}, BodyBytes: 4 << 20}.Config())
	for i := range 3 {
		fakes.NewRunner(world.store, fakes.ServicePlain, fmt.Sprintf("runner-%d", i+1), "")
	}
	for i := range nodes {
		if _, err := world.startNode(fmt.Sprintf("node-%d", i+1), true); err != nil {
			return outcomeUnrun, err
		}
	}
	if err := world.awaitReady(20 * time.Second); err != nil {
		return outcomeUnrun, err
	}
	end := time.Now().Add(crowdTime)
	var open atomic.Int64
	var done sync.WaitGroup
	var doors []*door
	for _, node := range world.nodes {
		door := &door{node: node, failures: map[string]int{}, ends: []time.Time{time.Now()}}
		doors = append(doors, door)
		for client := range ordinary {
			done.Go(func() { door.sendRequests(client, end) })
		}
		done.Go(func() { door.watchReadiness(end) })
	}
	if world.trouble {
		world.log("a crowd of %d clients comes to each node, each sending a byte of the head of its request every %s", crowdSize, crowdInterval)
		for _, door := range doors {
			for client := range crowdSize {
				go door.sendSlowly(client, &open, end)
			}
		}
	}
	for time.Now().Before(end) {
		time.Sleep(readinessPeriod)
		world.log("the crowd has %d connections open", open.Load())
		for _, door := range doors {
			door.report(world)
		}
	}
	done.Wait()
	result := outcomeHeld
	for _, door := range doors {
		longest := door.longest()
		world.log("%s: %d requests served, failed: %v; %d channels of the crowd taken; ready and without a new channel of any client for %.1f s at the longest",
			door.node.name, door.served, door.failures, door.crowdTaken, longest.Seconds())
		if longest > contactTime {
			result = outcomeBroken
		}
	}
	return result, nil
}

func (door *door) report(world *world) {
	door.mutex.Lock()
	defer door.mutex.Unlock()
	world.log("  %s: runs %t, %.0f MB; so far %d requests served, failed: %v", door.node.name, door.node.alive(), door.node.memory("VmRSS"), door.served, door.failures)
}

// sendSlowly sends the head of a request byte by byte, and begins anew when the node closes the connection.
func (door *door) sendSlowly(client int, open *atomic.Int64, end time.Time) {
	begin := "POST " + fakes.PathAtMostOnce + "1 HTTP/1.1\r\nHost: " + fakes.Hostname + "\r\nX-Note: "
	for time.Now().Before(end) {
		conn, err := net.DialTimeout("tcp", door.node.callers, time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		open.Add(1)
		openedAt, taken := time.Now(), false
		_, err = io.WriteString(conn, begin)
		time.Sleep(time.Duration(client%25) * 10 * time.Millisecond) // so that not all send at once
		for err == nil && time.Now().Before(end) {
			time.Sleep(crowdInterval)
			if _, err = io.WriteString(conn, "x"); err == nil && !taken && time.Since(openedAt) > takenAfter {
				taken = true
				door.take(openedAt)
			}
		}
		open.Add(-1)
		_ = conn.Close()
	}
}

// sendRequests sends requests, each on a new channel, until a time.
func (door *door) sendRequests(client int, end time.Time) {
	for number := 0; time.Now().Before(end); number++ {
		caller := &fakes.Caller{Address: door.node.callers}
		id := fmt.Sprintf("%s-%d-%d", door.node.name, client, number)
		answer := caller.Do(fakes.Request{Method: http.MethodGet, Path: fakes.PathIdempotent + "1", ID: id, Key: key}, time.Second)
		caller.Disconnect()
		door.count(answer)
		time.Sleep(ordinaryPause)
	}
	door.mutex.Lock()
	defer door.mutex.Unlock()
	door.endSpan(time.Now())
}

// count counts a request. A channel is taken if any answer comes on it.
func (door *door) count(answer fakes.Answer) {
	door.mutex.Lock()
	defer door.mutex.Unlock()
	switch {
	case answer.Err != nil:
		door.failures["closed or refused without an answer"]++
		return
	case answer.Status == http.StatusOK:
		door.served++
	default:
		door.failures[fmt.Sprintf("status %d", answer.Status)]++
	}
	door.endSpan(time.Now())
}

// watchReadiness asks the node as the platform does. A node that does not say that it is ready is excused.
func (door *door) watchReadiness(end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(readinessPeriod)
		if door.node.isReady() {
			continue
		}
		door.mutex.Lock()
		door.failures["readiness checks"]++
		door.endSpan(time.Now())
		door.mutex.Unlock()
	}
}
