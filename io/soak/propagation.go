package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"hickorybend/platform/fakes"
)

// expectation is the answer that a probe gets once a change is in force.
type expectation string

const (
	expectServed  expectation = "served"
	expectNoRoute expectation = "no route"
	expectNoKey   expectation = "no key"
)

// change is a change of the operators' configuration, with a request whose answer
// shows whether a node has applied the change.
type change struct {
	committedAt time.Time // when the store had the change
	request     fakes.Request
	inForce     func() bool // false once a later change has undone it
	expected    expectation
}

const probeInterval = time.Second // between two probes of one node

// checkPropagation probes all nodes while the change is in force. A node without
// faults must show the change within configBound, and a node that has
// shown it must not revert within one incarnation.
func (cluster *cluster) checkPropagation(change change) {
	visibleIn := make([]int, len(cluster.nodes)) // for each node, its last incarnation that showed the change
	for round := 0; change.inForce() && !cluster.isClosed(); round++ {
		for index, node := range cluster.nodes {
			incarnation, _ := node.current()
			probedAt := time.Now()
			visible, conclusive := cluster.probe(index, change, round)
			incarnationAfter, _ := node.current()
			switch {
			case !conclusive || incarnationAfter != incarnation || !change.inForce():
			case visible:
				visibleIn[index] = incarnation
			case visibleIn[index] == incarnation:
				cluster.checker.report(InvariantConfigPropagation, "node %d reverted from %q for %s", index+1, change.expected, change.request.Path)
			case probedAt.Sub(change.committedAt) > configBound && cluster.timeline.faultFree(change.committedAt, probedAt, nodeComponent(index), nodeRestartComponent(index), storeLinkComponent(index), storeComponent):
				cluster.checker.report(InvariantConfigPropagation, "node %d does not answer %q for %s, %s after the change", index+1, change.expected, change.request.Path, probedAt.Sub(change.committedAt))
			}
		}
		time.Sleep(probeInterval)
	}
}

// probe sends the change's request to one node. visible is whether the answer shows
// the change, and conclusive is false if it says nothing about it.
func (cluster *cluster) probe(index int, change change, round int) (visible, conclusive bool) {
	request := change.request
	request.ID = fmt.Sprintf("look-%d-%d-%d-%s", change.committedAt.UnixNano(), index, round, change.expected)
	cluster.checker.requestSent(request, kindIdempotent, index)
	caller := &fakes.Caller{Address: cluster.nodeAddress(index, portCallers)}
	defer caller.Disconnect()
	answer := caller.Do(request, time.Second)
	if answer.Err != nil {
		return false, false
	}
	status := answer.Status
	switch change.expected {
	case expectServed:
		return status != http.StatusNotFound, status == http.StatusOK || status == http.StatusNotFound
	case expectNoRoute:
		return status == http.StatusNotFound, status == http.StatusOK || status == http.StatusNotFound
	default:
		return status == http.StatusUnauthorized, status == http.StatusOK || status == http.StatusUnauthorized
	}
}

// hasRoute reports whether the configuration has an added route.
func (cluster *cluster) hasRoute(prefix string) bool {
	return slices.Contains(cluster.deployment().AddedPrefixes, prefix)
}
