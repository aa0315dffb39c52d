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
	ModePass            Mode = "pass"
	ModeSlow            Mode = "slow"   // each piece comes late
	ModeBlackhole       Mode = "silent" // nothing passes either way, and nobody is told
	ModeBlockUpstream   Mode = "up"     // nothing passes towards the server
	ModeBlockDownstream Mode = "down"   // nothing passes towards the client
	ModeReset           Mode = "reset"  // connections are reset, new ones at once
)

const (
	slowBy    = 150 * time.Millisecond // of each piece on a slow link
	holdCheck = 20 * time.Millisecond  // between two looks whether bytes may pass
	pieceSize = 16 << 10
)

// Proxy is a loopback proxy in front of one server.
type Proxy struct {
	listener net.Listener
	mutex    sync.Mutex
	target   string
	mode     Mode
	conns    map[net.Conn]bool
}

// NewProxy starts a proxy on a loopback address; "127.0.0.1:0" takes any port.
func NewProxy(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	proxy := &Proxy{listener: listener, target: target, mode: ModePass, conns: map[net.Conn]bool{}}
	go proxy.serve()
	return proxy, nil
}

// Address is where clients connect.
func (proxy *Proxy) Address() string { return proxy.listener.Addr().String() }

// SetTarget moves the link to another server.
func (proxy *Proxy) SetTarget(target string) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.target = target
}

// SetMode changes the mode; a reset ends all connections.
func (proxy *Proxy) SetMode(mode Mode) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.mode = mode
	if mode == ModeReset {
		for conn := range proxy.conns {
			reset(conn)
		}
	}
}

// Close ends the link and its connections.
func (proxy *Proxy) Close() {
	_ = proxy.listener.Close()
	proxy.SetMode(ModeReset)
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // so that the other side sees a reset, not an end
	}
	_ = conn.Close()
}

func (proxy *Proxy) serve() {
	for {
		client, err := proxy.listener.Accept()
		if err != nil {
			return // the link is closed
		}
		go proxy.carry(client)
	}
}

func (proxy *Proxy) carry(client net.Conn) {
	proxy.mutex.Lock()
	target, mode := proxy.target, proxy.mode
	proxy.mutex.Unlock()
	if mode == ModeReset {
		reset(client)
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		reset(client)
		return
	}
	proxy.enter(client, server)
	done := make(chan struct{}, 2)
	go proxy.copy(server, client, ModeBlockUpstream, done)
	go proxy.copy(client, server, ModeBlockDownstream, done)
	<-done
	<-done
	proxy.leave(client, server)
}

func (proxy *Proxy) enter(conns ...net.Conn) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for _, conn := range conns {
		proxy.conns[conn] = true
	}
}

func (proxy *Proxy) leave(conns ...net.Conn) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for _, conn := range conns {
		delete(proxy.conns, conn)
		_ = conn.Close()
	}
}

// copy passes bytes one way. An end is passed on like bytes, so a cut hides it
// too; an error ends both ways, as a reset does.
func (proxy *Proxy) copy(into, from net.Conn, way Mode, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	piece := make([]byte, pieceSize)
	for {
		count, err := from.Read(piece)
		proxy.hold(way)
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
func (proxy *Proxy) hold(way Mode) {
	for {
		proxy.mutex.Lock()
		mode := proxy.mode
		proxy.mutex.Unlock()
		switch mode {
		case ModeBlackhole, way:
			time.Sleep(holdCheck)
		case ModeSlow:
			time.Sleep(slowBy)
			return
		default:
			return
		}
	}
}
