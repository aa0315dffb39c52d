package soak

import (
	"net"
	"sync"
	"time"
)

// Mode is what a link does with the bytes it carries.
type Mode string

// The modes of a link.
const (
	ModePass   Mode = "pass"
	ModeSlow   Mode = "slow"   // each piece comes late
	ModeSilent Mode = "silent" // nothing passes either way, and nobody is told
	ModeUp     Mode = "up"     // nothing passes towards the server
	ModeDown   Mode = "down"   // nothing passes towards the client
	ModeReset  Mode = "reset"  // connections are reset, new ones at once
)

const (
	slowBy    = 150 * time.Millisecond // of each piece on a slow link
	holdCheck = 20 * time.Millisecond  // between two looks whether bytes may pass
	pieceSize = 16 << 10
)

// Link is a loopback proxy in front of one server.
type Link struct {
	listener net.Listener
	mutex    sync.Mutex
	target   string
	mode     Mode
	conns    map[net.Conn]bool
}

// NewLink starts a proxy on a loopback address; "127.0.0.1:0" takes any port.
func NewLink(address, target string) (*Link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	link := &Link{listener: listener, target: target, mode: ModePass, conns: map[net.Conn]bool{}}
	go link.serve()
	return link, nil
}

// Address is where clients connect.
func (link *Link) Address() string { return link.listener.Addr().String() }

// SetTarget moves the link to another server.
func (link *Link) SetTarget(target string) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.target = target
}

// Set changes the mode; a reset ends all connections.
func (link *Link) Set(mode Mode) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.mode = mode
	if mode == ModeReset {
		for conn := range link.conns {
			reset(conn)
		}
	}
}

// Close ends the link and its connections.
func (link *Link) Close() {
	_ = link.listener.Close()
	link.Set(ModeReset)
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // so that the other side sees a reset, not an end
	}
	_ = conn.Close()
}

func (link *Link) serve() {
	for {
		client, err := link.listener.Accept()
		if err != nil {
			return // the link is closed
		}
		go link.carry(client)
	}
}

func (link *Link) carry(client net.Conn) {
	link.mutex.Lock()
	target, mode := link.target, link.mode
	link.mutex.Unlock()
	if mode == ModeReset {
		reset(client)
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		reset(client)
		return
	}
	link.enter(client, server)
	done := make(chan struct{}, 2)
	go link.copy(server, client, ModeUp, done)
	go link.copy(client, server, ModeDown, done)
	<-done
	<-done
	link.leave(client, server)
}

func (link *Link) enter(conns ...net.Conn) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	for _, conn := range conns {
		link.conns[conn] = true
	}
}

func (link *Link) leave(conns ...net.Conn) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	for _, conn := range conns {
		delete(link.conns, conn)
		_ = conn.Close()
	}
}

// copy passes bytes one way. An end is passed on like bytes, so a cut hides it
// too; an error ends both ways, as a reset does.
func (link *Link) copy(into, from net.Conn, way Mode, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	piece := make([]byte, pieceSize)
	for {
		count, err := from.Read(piece)
		link.hold(way)
		if _, failed := into.Write(piece[:count]); failed != nil {
			reset(from)
			return
		}
		if err != nil {
			if tcp, ok := into.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

// hold waits until bytes may pass that way.
func (link *Link) hold(way Mode) {
	for {
		link.mutex.Lock()
		mode := link.mode
		link.mutex.Unlock()
		switch mode {
		case ModeSilent, way:
			time.Sleep(holdCheck)
		case ModeSlow:
			time.Sleep(slowBy)
			return
		default:
			return
		}
	}
}
