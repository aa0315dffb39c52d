package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode is how a proxy treats connections and the bytes on them.
type Mode string

// The modes of a proxy.
const (
	ModePass            Mode = "pass"
	ModeSlow            Mode = "slow"   // each chunk is delayed
	ModeBlackhole       Mode = "silent" // nothing passes either way, and connections stay open
	ModeBlockUpstream   Mode = "up"     // nothing passes to the server
	ModeBlockDownstream Mode = "down"   // nothing passes to the client
	ModeReset           Mode = "reset"  // open connections are reset, and new ones as soon as they are accepted
)

const (
	slowDelay          = 150 * time.Millisecond // of each chunk in ModeSlow
	blockCheckInterval = 20 * time.Millisecond  // between two checks whether bytes may pass
	bufferSize         = 16 << 10
)

// Proxy is a loopback proxy in front of one server.
type Proxy struct {
	listener net.Listener
	mutex    sync.Mutex
	target   string
	mode     Mode
	isCut    func(net.Conn) bool // connections of clients that get no answer; nil for none
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

// Address returns the address to which clients connect.
func (proxy *Proxy) Address() string { return proxy.listener.Addr().String() }

// SetTarget sets the server for new connections.
func (proxy *Proxy) SetTarget(target string) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.target = target
}

// Target returns the server for new connections.
func (proxy *Proxy) Target() string {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.target
}

// SetMode changes the mode; ModeReset resets all connections.
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

// SetCut sets the function that tells which connections of clients get no answer.
func (proxy *Proxy) SetCut(isCut func(net.Conn) bool) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.isCut = isCut
}

// ResetWhere resets the connections for which a function returns true.
func (proxy *Proxy) ResetWhere(matches func(net.Conn) bool) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for conn := range proxy.conns {
		if matches(conn) {
			reset(conn)
		}
	}
}

// Close stops the proxy and resets its connections.
func (proxy *Proxy) Close() {
	_ = proxy.listener.Close()
	proxy.SetMode(ModeReset)
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the peer gets a reset instead of the end of the stream
	}
	_ = conn.Close()
}

func (proxy *Proxy) serve() {
	for {
		client, err := proxy.listener.Accept()
		if err != nil {
			return // the proxy is closed
		}
		go proxy.forward(client)
	}
}

func (proxy *Proxy) forward(client net.Conn) {
	proxy.mutex.Lock()
	target, mode, isCut := proxy.target, proxy.mode, proxy.isCut
	proxy.mutex.Unlock()
	if mode == ModeReset {
		reset(client)
		return
	}
	if isCut != nil && isCut(client) {
		proxy.track(client)
		_, _ = io.Copy(io.Discard, client) // until either side closes the connection
		proxy.untrack(client)
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		reset(client)
		return
	}
	proxy.track(client, server)
	done := make(chan struct{}, 2)
	go proxy.copy(server, client, ModeBlockUpstream, done)
	go proxy.copy(client, server, ModeBlockDownstream, done)
	<-done
	<-done
	proxy.untrack(client, server)
}

func (proxy *Proxy) track(conns ...net.Conn) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for _, conn := range conns {
		proxy.conns[conn] = true
	}
}

func (proxy *Proxy) untrack(conns ...net.Conn) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for _, conn := range conns {
		delete(proxy.conns, conn)
		_ = conn.Close()
	}
}

// copy forwards bytes in one direction, which blockMode and ModeBlackhole block. The
// end of the stream is forwarded like bytes, so a blocked direction hides it too. A
// write error resets the source, which ends both directions.
func (proxy *Proxy) copy(destination, source net.Conn, blockMode Mode, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, bufferSize)
	for {
		count, err := source.Read(buffer)
		proxy.waitToPass(blockMode)
		if _, writeErr := destination.Write(buffer[:count]); writeErr != nil {
			reset(source)
			return
		}
		if err != nil {
			if tcp, ok := destination.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

// waitToPass waits until the mode lets bytes pass in the direction that blockMode
// blocks.
func (proxy *Proxy) waitToPass(blockMode Mode) {
	for {
		proxy.mutex.Lock()
		mode := proxy.mode
		proxy.mutex.Unlock()
		switch mode {
		case ModeBlackhole, blockMode:
			time.Sleep(blockCheckInterval)
		case ModeSlow:
			time.Sleep(slowDelay)
			return
		default:
			return
		}
	}
}
