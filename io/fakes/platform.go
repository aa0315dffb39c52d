package fakes

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// HostSpec describes the host of an endpoint or node. Domain is its fabric domain;
// the members of a replica share one.
type HostSpec struct {
	Host    string
	Zone    string
	Domain  string
	Service string
	Address string
}

// Layout describes a stand-in platform.
type Layout struct {
	// Address is the address of the platform's own services.
	Address string
	// Hosts are the hosts of endpoints.
	Hosts []HostSpec
	// PlainServices names the plain services; all others are model services.
	PlainServices []string
	// FencingServices names the model services whose engines reject commands with an old
	// fencing number.
	FencingServices []string
	Speed           Speed
	// LoadSpacing is the minimum time between the starts of two weight loads.
	LoadSpacing time.Duration
	// HostListLag is the delay after which the host list shows a change.
	HostListLag time.Duration
	// Nodes are also in the host list; the stand-in doesn't run them.
	Nodes []HostSpec
}

// Platform runs all stand-ins in one process: the platform's services on one
// address and each endpoint on its own address.
type Platform struct {
	Table      *Table
	Objects    *ObjectStore
	Executions *ExecutionCounter

	layout         Layout
	engines        map[string]*Engine
	plainInstances map[string]*PlainInstance
	servers        []*http.Server
	mutex          sync.Mutex
	drainingSince  map[string]time.Time // by host
	returnedAt     map[string]time.Time // by host; returned to the platform by a node
}

// ErrListen is returned when a stand-in cannot listen on its address.
var ErrListen = errors.New("fakes: cannot listen")

// Start starts the stand-ins of a layout and serves every address of it.
func Start(layout Layout) (*Platform, error) {
	platform := &Platform{
		Table: NewTable(), Objects: NewObjectStore(), Executions: NewExecutionCounter(), layout: layout,
		engines: map[string]*Engine{}, plainInstances: map[string]*PlainInstance{},
		drainingSince: map[string]time.Time{}, returnedAt: map[string]time.Time{},
	}
	if err := platform.serve(layout.Address, platform.handler()); err != nil {
		return nil, err
	}
	weightstore := NewWeightStore(layout.LoadSpacing)
	for _, hostspec := range layout.Hosts {
		if err := platform.serve(hostspec.Address, platform.newEndpoint(hostspec, weightstore)); err != nil {
			platform.Stop()
			return nil, err
		}
	}
	return platform, nil
}

// newEndpoint makes the plain instance or the engine of a host.
func (platform *Platform) newEndpoint(hostspec HostSpec, weightstore *WeightStore) http.Handler {
	for _, service := range platform.layout.PlainServices {
		if service == hostspec.Service {
			plaininstance := NewPlainInstance(hostspec.Host, platform.Executions, platform.layout.Speed)
			platform.plainInstances[hostspec.Host] = plaininstance
			return plaininstance
		}
	}
	engine := NewEngine(hostspec.Host, platform.layout.Speed, slices.Contains(platform.layout.FencingServices, hostspec.Service), weightstore, platform.Engine)
	platform.engines[hostspec.Host] = engine
	return engine
}

// Engine returns the engine on a host, or nil.
func (platform *Platform) Engine(host string) *Engine { return platform.engines[host] }

// PlainInstance returns the plain instance on a host, or nil.
func (platform *Platform) PlainInstance(host string) *PlainInstance {
	return platform.plainInstances[host]
}

func (platform *Platform) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "address %s", address), ErrListen)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	platform.servers = append(platform.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

const readHeaderTimeout = 5 * time.Second

// Stop closes every address and stops every engine.
func (platform *Platform) Stop() {
	for _, server := range platform.servers {
		_ = server.Close()
	}
	for _, engine := range platform.engines {
		engine.Stop()
	}
}

func (platform *Platform) handler() http.Handler {
	routes := http.NewServeMux()
	routes.Handle("POST /table", platform.Table)
	routes.Handle("/objects/", platform.Objects)
	routes.HandleFunc("GET /hosts", platform.handleHostList)
	routes.HandleFunc("DELETE /hosts/{host}", platform.handleHandBack)
	routes.HandleFunc("POST /faults", platform.handleFaultRequest)
	routes.HandleFunc("GET /ledger", platform.handleExecutionCounts)
	return routes
}

// targetGroup is an entry of HTTP service discovery, as in Prometheus.
type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// handleHostList serves the host list as HTTP service discovery, a target group
// for each host.
func (platform *Platform) handleHostList(w http.ResponseWriter, _ *http.Request) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	groups := make([]targetGroup, 0, len(platform.layout.Hosts))
	for _, hostspec := range slices.Concat(platform.layout.Nodes, platform.layout.Hosts) {
		if platform.visible(platform.returnedAt, hostspec.Host) {
			continue
		}
		state := "live"
		if platform.visible(platform.drainingSince, hostspec.Host) {
			state = "leaving"
		}
		groups = append(groups, targetGroup{Targets: []string{hostspec.Address}, Labels: map[string]string{
			"host": hostspec.Host, "zone": hostspec.Zone, "domain": hostspec.Domain, "service": hostspec.Service, "state": state,
		}})
	}
	writeJSON(w, http.StatusOK, groups)
}

// visible reports whether the host list shows a change of a host. It does so
// HostListLag after the time in changes.
func (platform *Platform) visible(changes map[string]time.Time, host string) bool {
	changedAt, changed := changes[host]
	return changed && time.Since(changedAt) >= platform.layout.HostListLag
}

// handleHandBack takes a host that a node hands back to the platform. The host
// list then no longer holds it.
func (platform *Platform) handleHandBack(w http.ResponseWriter, r *http.Request) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.returnedAt[r.PathValue("host")] = time.Now()
	w.WriteHeader(http.StatusNoContent)
}

func (platform *Platform) handleFaultRequest(w http.ResponseWriter, r *http.Request) {
	var faultrequest FaultRequest
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faultrequest); err != nil {
		writeJSON(w, http.StatusBadRequest, errorBody{Error: err.Error()})
		return
	}
	if err := platform.InjectFault(faultrequest); err != nil {
		writeJSON(w, http.StatusNotFound, errorBody{Error: err.Error()})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// InjectFault carries out a fault request. It returns an error if no host of the
// layout has the request's host name or domain.
func (platform *Platform) InjectFault(faultrequest FaultRequest) error {
	if faultrequest.Table != nil {
		platform.Table.SetFault(*faultrequest.Table)
	}
	if faultrequest.Host == "" && faultrequest.Domain == "" {
		return nil
	}
	found := false
	for _, hostspec := range platform.layout.Hosts {
		if hostspec.Host == faultrequest.Host || faultrequest.Domain != "" && hostspec.Domain == faultrequest.Domain {
			platform.injectHostFault(hostspec.Host, faultrequest)
			found = true
		}
	}
	if !found {
		return errors.New("fakes: no such host or domain")
	}
	return nil
}

func (platform *Platform) injectHostFault(host string, faultrequest FaultRequest) {
	if faultrequest.Draining {
		platform.mutex.Lock()
		platform.drainingSince[host] = time.Now()
		platform.mutex.Unlock()
	}
	engine, plaininstance := platform.engines[host], platform.plainInstances[host]
	switch {
	case engine != nil && faultrequest.Restart:
		engine.Restart()
	case engine != nil && faultrequest.Endpoint != nil:
		engine.SetFault(*faultrequest.Endpoint)
	case plaininstance != nil && faultrequest.Endpoint != nil:
		plaininstance.SetFault(*faultrequest.Endpoint)
	}
}

// executionCounts is the response of GET /ledger: the number of idempotency keys
// executed, and of those executed more than once.
type executionCounts struct {
	Keys       int `json:"keys"`
	Duplicates int `json:"doubled"`
}

func (platform *Platform) handleExecutionCounts(w http.ResponseWriter, r *http.Request) {
	duplicates, keys := platform.Executions.Duplicates()
	writeJSON(w, http.StatusOK, executionCounts{Keys: keys, Duplicates: duplicates})
}

// PlaceHosts returns the hosts of a service: hostsPerDomain in each of
// domainsPerZone fabric domains of every zone, with consecutive ports from the
// given one.
func PlaceHosts(service string, zones []string, domainsPerZone, hostsPerDomain int, ip string, port int) []HostSpec {
	var hostspecs []HostSpec
	for _, zone := range zones {
		for d := range domainsPerZone {
			domain := fmt.Sprintf("%s-fabric-%d", zone, d+1)
			for h := range hostsPerDomain {
				host := fmt.Sprintf("%s-%s-%d", strings.TrimSuffix(service, "-llm"), domain, h+1)
				address := fmt.Sprintf("%s:%d", ip, port+len(hostspecs))
				hostspecs = append(hostspecs, HostSpec{Host: host, Zone: zone, Domain: domain, Service: service, Address: address})
			}
		}
	}
	return hostspecs
}
