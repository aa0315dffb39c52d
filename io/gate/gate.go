package gate

import (
	"cmp"
	"net"
	"slices"
	"sync"
	"time"

	"hickorybend/core/buffer"
)

const (
	fieldCost     = 100      // bytes that a parsed field takes besides its text
	textFactor    = 2        // copies of the text of a head: in the reader and in the fields
	uncountedCost = 16 << 10 // of each connection, so that most do without the ledger
	stallStep     = 500 * time.Millisecond
	slowRate      = 4 << 10                // bytes a second, below which a request that has not come whole makes no progress; the largest head within the operators' time for one comes faster
	maxVictims    = 64                     // connections chosen at once, to be closed for further ones
	refusalTime   = 100 * time.Millisecond // for a client to read a refusal, before its connection is closed
	writePiece    = 16 << 10               // bytes for which a client has WriteTime
	maxPipelined  = 64                     // requests in a row that a client sends without a wait for the response before
)

// Limits bound the connections at one address. Zero stands for no limit.
type Limits struct {
	Connections int
	PerSource   int // connections of one client's address
	Fields      int // of one head
	WriteTime   time.Duration
}

// Reason says why a connection was closed or refused.
type Reason string

// The reasons.
const (
	ReasonMemory      Reason = "memory"      // the node's budget for held bytes is used up
	ReasonConnections Reason = "connections" // there are as many as the address may have
	ReasonSource      Reason = "source"      // there are as many as one client may have
	ReasonFields      Reason = "fields"      // the head has too many
	ReasonUnread      Reason = "unread"      // the client has not read a response
	ReasonPipelined   Reason = "pipelined"   // the client sends many requests without a wait for the responses
)

// Closed says that a connection was closed or refused.
type Closed struct {
	Reason Reason
	Source string
	Cost   int64 // bytes that its head took
	Fields int
}

// Gate is the connections at one address.
type Gate struct {
	limits   Limits
	ledger   *buffer.Ledger
	onClosed func(Closed)
	mutex    sync.Mutex
	conns    map[*Conn]bool
	bySource map[string]int
	victims  []*Conn   // to be closed for further connections, the first one last
	chosenAt time.Time // when they were chosen
}

// New returns a gate whose connections count in a ledger.
func New(limits Limits, ledger *buffer.Ledger, onClosed func(Closed)) *Gate {
	return &Gate{limits: limits, ledger: ledger, onClosed: onClosed, conns: map[*Conn]bool{}, bySource: map[string]int{}}
}

// Admit counts a new connection. It returns nil if there is no room for it; the caller closes it then.
func (gate *Gate) Admit(tcp net.Conn, now time.Time) *Conn {
	conn := &Conn{gate: gate, tcp: tcp, source: sourceOf(tcp), progressAt: now, inHead: true, lineEmpty: true}
	gate.mutex.Lock()
	victim, reason := gate.makeRoom(conn.source, now)
	admitted := reason == "" || victim != nil
	if victim != nil {
		gate.remove(victim)
	}
	if admitted {
		gate.conns[conn] = true
		gate.bySource[conn.source]++
	}
	gate.mutex.Unlock()
	switch {
	case victim != nil:
		victim.end(reason)
	case !admitted:
		gate.onClosed(Closed{Reason: reason, Source: conn.source})
		return nil
	}
	return conn
}

// makeRoom returns the connection that is to be closed for a further one, or nil if none may be, and the limit that
// calls for it, if any does. The mutex must be held.
func (gate *Gate) makeRoom(source string, now time.Time) (*Conn, Reason) {
	switch {
	case gate.limits.PerSource > 0 && gate.bySource[source] >= gate.limits.PerSource:
		return gate.nextVictim(source, now), ReasonSource
	case gate.limits.Connections > 0 && len(gate.conns) >= gate.limits.Connections:
		return gate.nextVictim("", now), ReasonConnections
	}
	return nil, ""
}

// nextVictim returns the connection that is to be closed first, among those of one source if that is not empty. Of all
// connections it chooses several at once, since a crowd makes it close many in a short time and looking at all of them
// takes long. The mutex must be held.
func (gate *Gate) nextVictim(source string, now time.Time) *Conn {
	if source != "" {
		return last(gate.victimsOf(source, now))
	}
	if now.Sub(gate.chosenAt) >= stallStep {
		gate.victims = nil
	}
	if victim := gate.takeVictim(now); victim != nil {
		return victim
	}
	gate.victims, gate.chosenAt = gate.victimsOf("", now), now
	return gate.takeVictim(now)
}

// takeVictim returns the first of the chosen connections that may still be closed. The mutex must be held.
func (gate *Gate) takeVictim(now time.Time) *Conn {
	for len(gate.victims) > 0 {
		victim := last(gate.victims)
		gate.victims = gate.victims[:len(gate.victims)-1]
		if _, mayEnd := victim.standing(0, now); mayEnd && gate.conns[victim] {
			return victim
		}
	}
	return nil
}

// victimsOf returns connections that may be closed, maxVictims at most, the one that is to be closed first last. The mutex
// must be held.
func (gate *Gate) victimsOf(source string, now time.Time) []*Conn {
	var victims []*Conn
	for conn := range gate.conns {
		if source != "" && conn.source != source {
			continue
		}
		standing, mayEnd := conn.standing(gate.bySource[conn.source], now)
		if conn.last = standing; mayEnd {
			victims = append(victims, conn)
		}
	}
	slices.SortFunc(victims, func(a, b *Conn) int { return a.last.compare(b.last) })
	return victims[max(0, len(victims)-maxVictims):]
}

func last(conns []*Conn) *Conn {
	if len(conns) == 0 {
		return nil
	}
	return conns[len(conns)-1]
}

// standing is what decides which connection is closed first.
type standing struct {
	served  bool          // it has carried a whole request
	stalled time.Duration // since it made progress, in steps
	cost    int64
	others  int // connections of its source
}

// compare orders connections by which is to be closed rather, that one last: one that has carried no whole request,
// then the longest without progress, the largest, and one of the source with most.
func (standing standing) compare(other standing) int {
	if standing.served != other.served {
		if standing.served {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(standing.stalled, other.stalled), cmp.Compare(standing.cost, other.cost), cmp.Compare(standing.others, other.others))
}

// remove forgets a connection. The mutex must be held.
func (gate *Gate) remove(conn *Conn) {
	if !gate.conns[conn] {
		return
	}
	delete(gate.conns, conn)
	if gate.bySource[conn.source]--; gate.bySource[conn.source] == 0 {
		delete(gate.bySource, conn.source)
	}
}

// Open returns the number of connections.
func (gate *Gate) Open() int {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	return len(gate.conns)
}

func sourceOf(conn net.Conn) string {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return conn.RemoteAddr().String()
	}
	return host
}
