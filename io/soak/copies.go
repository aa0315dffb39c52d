package soak

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"hickorybend/platform/fakes"
)

// injectCopies begins a fault that drawCopies draws.
func (cluster *cluster) injectCopies(injection Injection) {
	switch fault := injection.Fault.(type) {
	case RunnersRefuse:
		value, none := strconv.FormatFloat(fault.RetryAfter.Seconds(), 'f', 3, 64), ""
		for _, slot := range cluster.slotsFrom(fault.First, fault.Count) {
			go cluster.behaveFor(slot, injection.Duration, fakes.Behavior{RetryAfter: &value}, fakes.Behavior{RetryAfter: &none})
		}
		cluster.startReturners(injection.Duration)
	case AnswersCopied:
		behave := cluster.behaveFor
		if !fault.Duplicates.Refusals {
			behave = cluster.misbehaveFor
		}
		for _, slot := range cluster.slotsFrom(fault.First, fault.Count) {
			go behave(slot, injection.Duration, fakes.Behavior{Duplicates: &fault.Duplicates}, fakes.Behavior{Duplicates: &fakes.Duplicates{}})
		}
	case ConnectionsKept:
		none := time.Duration(0)
		for _, slot := range cluster.slotsFrom(fault.First, fault.Count) {
			go cluster.behaveFor(slot, injection.Duration, fakes.Behavior{KeepAlive: &fault.Timeout}, fakes.Behavior{KeepAlive: &none})
		}
	case NodeCutOff:
		cluster.injectFor(nodeComponent(fault.Node), injection.Duration, func() { cluster.cutOffNode(fault.Node, 1) }, func() { cluster.cutOffNode(fault.Node, -1) })
	}
}

const (
	returners        = 10                    // further callers while runners refuse everything
	maxReturnerPause = 30 * time.Millisecond // between two of their requests
)

// startReturners starts callers that send requests that may run once, each again while it is refused,
// for a duration.
func (cluster *cluster) startReturners(duration time.Duration) {
	began := time.Now()
	for i := range returners {
		client := newClient(cluster, cluster.config.Scale.Callers+i)
		client.name = fmt.Sprintf("returner-%d-%d", began.UnixNano(), i)
		go func() {
			defer client.disconnect()
			for client.switchNode(); time.Since(began) < duration && !cluster.isClosed(); {
				client.sendWhileRefused(context.Background(), client.nextRequest(), kindAtMostOnce, false)
				time.Sleep(time.Duration(client.returns.Int64N(int64(maxReturnerPause))))
			}
		}()
	}
}

// cutOffNode begins a cut of a node's connections to all runners, or ends it. Both reset those
// connections. In between, new ones get no answer.
func (cluster *cluster) cutOffNode(index, change int) {
	began := time.Now()
	cluster.nodes[index].cuts.Add(int64(change))
	connections := cluster.nodes[index].connections(time.Now())
	for _, slot := range cluster.slots {
		slot.proxy.ResetWhere(func(conn net.Conn) bool { return connections[portsOf(conn)] })
	}
	cluster.timeline.addFault(cutComponent, began, time.Now())
}

// isCut reports whether a connection to a runner's proxy comes from a node that is cut off.
func (cluster *cluster) isCut(conn net.Conn) bool {
	acceptedAt := time.Now()
	for _, node := range cluster.nodes {
		if node.cuts.Load() > 0 && node.connections(acceptedAt)[portsOf(conn)] {
			return true
		}
	}
	return false
}

// ports are the ports of a loopback connection.
type ports struct{ client, server uint16 }

func portsOf(conn net.Conn) ports {
	client, _ := conn.RemoteAddr().(*net.TCPAddr)
	server, _ := conn.LocalAddr().(*net.TCPAddr)
	if client == nil || server == nil {
		return ports{}
	}
	return ports{client: uint16(client.Port), server: uint16(server.Port)}
}

// connectionTable is the IPv4 connections of a node's process at one time, by which proxies tell the
// nodes apart: all have the same source address.
type connectionTable struct {
	mutex       sync.Mutex
	readAt      time.Time
	connections map[ports]bool
}

const tableInterval = 100 * time.Millisecond // between two readings, which take long on a machine with many connections

// connections returns the connections of the node's process at a time, and some opened or closed since.
func (node *node) connections(at time.Time) map[ports]bool {
	table := &node.table
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if !table.readAt.After(at) {
		time.Sleep(time.Until(table.readAt.Add(tableInterval)))
		table.readAt, table.connections = time.Now(), node.readConnections()
	}
	return table.connections
}

// readConnections reads the connections. There are none if the process has exited.
func (node *node) readConnections() map[ports]bool {
	_, process := node.current()
	directory := fmt.Sprintf("/proc/%d/", process.command.Process.Pid)
	sockets := map[string]bool{}
	descriptors, _ := filepath.Glob(directory + "fd/*")
	for _, descriptor := range descriptors {
		if target, err := os.Readlink(descriptor); err == nil {
			sockets[target] = true
		}
	}
	connections := map[ports]bool{}
	table, err := os.ReadFile(directory + "net/tcp")
	if err != nil {
		return connections
	}
	for line := range strings.Lines(string(table)) {
		const localAddress, remoteAddress, inode, established = 1, 2, 9, " 01 "
		if !strings.Contains(line, established) {
			continue
		}
		if fields := strings.Fields(line); len(fields) > inode && sockets["socket:["+fields[inode]+"]"] {
			connections[ports{client: portIn(fields[localAddress]), server: portIn(fields[remoteAddress])}] = true
		}
	}
	return connections
}

// portIn returns the port in an address of /proc/net/tcp, such as 0100007F:1B59.
func portIn(address string) uint16 {
	_, port, _ := strings.Cut(address, ":")
	value, _ := strconv.ParseUint(port, 16, 16)
	return uint16(value)
}
