package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// ways are the network between the nodes and the runners. Each runner is reached through a
// listener of its own. While nodes are cut, the process at the other end of a connection tells
// whether it is one of theirs.
type ways struct {
	mutex  sync.Mutex
	cut    []int // processes that are partitioned from all runners; set once
	active atomic.Bool
	resets atomic.Int64 // connections
	conns  map[net.Conn]bool
}

func newWays() *ways { return &ways{conns: map[net.Conn]bool{}} }

// to opens a way to a runner and returns its address.
func (ways *ways) to(target string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go ways.pass(conn, target)
		}
	}()
	return listener.Addr().String(), nil
}

// cutOff partitions processes from all runners: their open connections are reset, and new ones
// as soon as they are accepted.
func (ways *ways) cutOff(pids ...int) {
	ways.mutex.Lock()
	defer ways.mutex.Unlock()
	ways.cut = pids
	ways.active.Store(true)
	sockets := ways.socketsOfCut()
	for conn := range ways.conns {
		if sockets[inodeOf(conn)] {
			ways.resets.Add(1)
			reset(conn)
		}
	}
}

// isCut reports whether a new connection comes from a process that is cut off.
func (ways *ways) isCut(conn net.Conn) bool {
	if !ways.active.Load() {
		return false
	}
	inode := inodeOf(conn)
	return inode != 0 && ways.socketsOfCut()[inode]
}

// socketsOfCut returns the inodes of the sockets of the processes that are cut off.
func (ways *ways) socketsOfCut() map[uint32]bool {
	sockets := map[uint32]bool{}
	for _, pid := range ways.cut {
		directory := fmt.Sprintf("/proc/%d/fd", pid)
		entries, err := os.ReadDir(directory)
		if err != nil {
			continue
		}
		for _, entry := range entries {
			name, err := os.Readlink(filepath.Join(directory, entry.Name()))
			if inode, found := strings.CutPrefix(name, "socket:["); err == nil && found {
				number, _ := strconv.ParseUint(strings.TrimSuffix(inode, "]"), 10, 32)
				sockets[uint32(number)] = true
			}
		}
	}
	return sockets
}

const (
	sockDiagByFamily = 20
	protocolTCP      = 6
	inodeOffset      = 84 // in the answer: a netlink header, four bytes, the socket's id, four numbers
)

// inodeOf asks the kernel for the inode of the socket at the other end of a loopback
// connection. It returns 0 if there is none.
func inodeOf(conn net.Conn) uint32 {
	local, remote := conn.RemoteAddr().(*net.TCPAddr), conn.LocalAddr().(*net.TCPAddr) // as the other end sees them
	query := make([]byte, 72)
	binary.NativeEndian.PutUint32(query[0:], uint32(len(query)))
	binary.NativeEndian.PutUint16(query[4:], sockDiagByFamily)
	binary.NativeEndian.PutUint16(query[6:], unix.NLM_F_REQUEST)
	query[16], query[17] = unix.AF_INET, protocolTCP
	binary.NativeEndian.PutUint32(query[20:], ^uint32(0)) // any state
	binary.BigEndian.PutUint16(query[24:], uint16(local.Port))
	binary.BigEndian.PutUint16(query[26:], uint16(remote.Port))
	copy(query[28:], local.IP.To4())
	copy(query[44:], remote.IP.To4())
	binary.NativeEndian.PutUint64(query[64:], ^uint64(0)) // no cookie
	socket, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_RAW|unix.SOCK_CLOEXEC, unix.NETLINK_INET_DIAG)
	if err != nil {
		return 0
	}
	defer func() { _ = unix.Close(socket) }()
	if unix.Sendto(socket, query, 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}) != nil {
		return 0
	}
	answer := make([]byte, 4096)
	count, _, err := unix.Recvfrom(socket, answer, 0)
	if err != nil || count < inodeOffset+4 || binary.NativeEndian.Uint16(answer[4:]) != sockDiagByFamily {
		return 0
	}
	return binary.NativeEndian.Uint32(answer[inodeOffset:])
}

func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

func (ways *ways) pass(client net.Conn, target string) {
	if ways.isCut(client) {
		ways.resets.Add(1)
		reset(client)
		return
	}
	ways.mutex.Lock()
	ways.conns[client] = true
	ways.mutex.Unlock()
	defer func() {
		ways.mutex.Lock()
		delete(ways.conns, client)
		ways.mutex.Unlock()
		_ = client.Close()
	}()
	server, err := net.Dial("tcp", target)
	if err != nil {
		reset(client)
		return
	}
	defer func() { _ = server.Close() }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		if _, err := io.Copy(client, server); err != nil {
			reset(client)
		}
		_ = client.(*net.TCPConn).CloseWrite()
	}()
	if _, err := io.Copy(server, client); err != nil {
		reset(server)
	}
	_ = server.(*net.TCPConn).CloseWrite()
	<-done
}
