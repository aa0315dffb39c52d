package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"hickorybend/platform/fakes"
)

// want is what an ask shows once a change is in force.
type want string

const (
	wantServed  want = "served"
	wantNoRoute want = "no route"
	wantNoKey   want = "no key"
)

// change is one of the operators' with the ask that shows it.
type change struct {
	at    time.Time // when the store had it
	ask   fakes.Request
	holds func() bool // until a later change takes it back
	want  want
}

const followEvery = time.Second // between two looks at one node

// follow asks all nodes for as long as the change holds: each node that was
// calm shows it in time, and one that has shown it never goes back in one life.
func (site *site) follow(change change) {
	shown := make([]int, len(site.nodes)) // the life in which a node showed it
	for round := 0; change.holds() && !site.over(); round++ {
		for index, node := range site.nodes {
			boot, _ := node.boot()
			asked := time.Now()
			seen, told := site.look(index, change, round)
			after, _ := node.boot()
			switch {
			case !told || after != boot || !change.holds():
			case seen:
				shown[index] = boot
			case shown[index] == boot:
				site.judge.note(InvariantConfigPropagation, "node %d goes back on %q of %s", index+1, change.want, change.ask.Path)
			case asked.Sub(change.at) > changeLimit && site.calm.was(change.at, asked, partNode(index), partPlanned(index), partStoreOf(index), partStore):
				site.judge.note(InvariantConfigPropagation, "node %d does not show %q of %s %s after the change", index+1, change.want, change.ask.Path, asked.Sub(change.at))
			}
		}
		time.Sleep(followEvery)
	}
}

// look asks one node; told is false where the answer says nothing of the change.
func (site *site) look(index int, change change, round int) (seen, told bool) {
	request := change.ask
	request.ID = fmt.Sprintf("look-%d-%d-%d-%s", change.at.UnixNano(), index, round, change.want)
	site.judge.sent(request, kindSafe, index)
	caller := &fakes.Caller{Address: site.address(index, portCallers)}
	defer caller.Disconnect()
	answer := caller.Do(request, time.Second)
	if answer.Err != nil {
		return false, false
	}
	status := answer.Status
	switch change.want {
	case wantServed:
		return status != http.StatusNotFound, status == http.StatusOK || status == http.StatusNotFound
	case wantNoRoute:
		return status == http.StatusNotFound, status == http.StatusOK || status == http.StatusNotFound
	default:
		return status == http.StatusUnauthorized, status == http.StatusOK || status == http.StatusUnauthorized
	}
}

// routed tells whether a route is in force.
func (site *site) routed(prefix string) bool {
	return slices.Contains(site.deployment().AddedPrefixes, prefix)
}
