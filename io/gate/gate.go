package gate

import (
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
		return gate.worst(source, now), ReasonSource
	case gate.limits.Connections > 0 && len(gate.conns) >= gate.limits.Connections:
		return gate.nextVictim(now), ReasonConnections
	}
	return nil, ""
}

// worst returns the connection of a source that is to be closed first. The mutex must be held.
func (gate *Gate) worst(source string, now time.Time) *Conn {
	var worst *Conn
	for conn := range gate.conns {
		if conn.source != source {
			continue
		}
		if standing, mayEnd := conn.standing(gate.bySource[conn.source], now); mayEnd && (worst == nil || standing.worseThan(worst.last)) {
			conn.last = standing
			worst = conn
		}
	}
	return worst
}

// nextVictim returns the connection that is to be closed first. It chooses several at once, since a crowd makes it
// close many in a short time and looking at all connections takes long. The mutex must be held.
func (gate *Gate) nextVictim(now time.Time) *Conn {
	if now.Sub(gate.chosenAt) >= stallStep {
		gate.victims = nil
	}
	for refilled := false; ; refilled = true {
		for len(gate.victims) > 0 {
			victim := gate.victims[len(gate.victims)-1]
			gate.victims = gate.victims[:len(gate.victims)-1]
			if _, mayEnd := victim.standing(0, now); mayEnd && gate.conns[victim] {
				return victim
			}
		}
		if refilled {
			return nil
		}
		gate.chooseVictims(now)
	}
}

// chooseVictims chooses the connections that are to be closed first. The mutex must be held.
func (gate *Gate) chooseVictims(now time.Time) {
	gate.victims, gate.chosenAt = nil, now
	for conn := range gate.conns {
		standing, mayEnd := conn.standing(gate.bySource[conn.source], now)
		if conn.last = standing; mayEnd {
			gate.victims = append(gate.victims, conn)
		}
	}
	slices.SortFunc(gate.victims, func(a, b *Conn) int {
		switch {
		case a.last.worseThan(b.last):
			return 1
		case b.last.worseThan(a.last):
			return -1
		default:
			return 0
		}
	})
	gate.victims = gate.victims[max(0, len(gate.victims)-maxVictims):]
}

// standing is what decides which connection is closed first.
type standing struct {
	served  bool          // it has carried a whole request
	stalled time.Duration // since it made progress, in steps
	cost    int64
	others  int // connections of its source
}

// worseThan reports whether a connection is to be closed rather than another one: one that has carried no whole
// request first, then the longest without progress, the largest, and one of the source with most.
func (standing standing) worseThan(other standing) bool {
	switch {
	case standing.served != other.served:
		return !standing.served
	case standing.stalled != other.stalled:
		return standing.stalled > other.stalled
	case standing.cost != other.cost:
		return standing.cost > other.cost
	default:
		return standing.others > other.others
	}
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
