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

// HostSpec describes one endpoint's host.
type HostSpec struct {
	Host    string
	Zone    string
	Domain  string
	Service string
	Address string
}

// Layout is what a stand-in platform holds.
type Layout struct {
	Address       string
	Hosts         []HostSpec
	PlainServices []string
	ChecksFencing bool
	Speed         Speed
	LoadSpacing   time.Duration
	HostListLag   time.Duration
	Nodes         []HostSpec
}

// Platform is one process's stand-ins: the platform's services on one address
// and each endpoint on its own.
type Platform struct {
	Table      *Table
	Objects    *ObjectStore
	Executions *ExecutionCounter

	layout   Layout
	engines  map[string]*Engine
	plains   map[string]*PlainInstance
	servers  []*http.Server
	mutex    sync.Mutex
	leaving  map[string]time.Time
	returned map[string]time.Time
}

// ErrListen says that a stand-in cannot have its address.
var ErrListen = errors.New("fakes: cannot listen")

// Start opens every address of the layout.
func Start(layout Layout) (*Platform, error) {
	platform := &Platform{
		Table: NewTable(), Objects: NewObjectStore(), Executions: NewExecutionCounter(), layout: layout,
		engines: map[string]*Engine{}, plains: map[string]*PlainInstance{},
		leaving: map[string]time.Time{}, returned: map[string]time.Time{},
	}
	if err := platform.serve(layout.Address, platform.handler()); err != nil {
		return nil, err
	}
	weightstore := NewWeightStore(layout.LoadSpacing)
	for _, spec := range layout.Hosts {
		if err := platform.serve(spec.Address, platform.endpoint(spec, weightstore)); err != nil {
			platform.Stop()
			return nil, err
		}
	}
	return platform, nil
}

func (platform *Platform) endpoint(spec HostSpec, weightstore *WeightStore) http.Handler {
	for _, service := range platform.layout.PlainServices {
		if service == spec.Service {
			plaininstance := NewPlainInstance(spec.Host, platform.Executions, platform.layout.Speed)
			platform.plains[spec.Host] = plaininstance
			return plaininstance
		}
	}
	engine := NewEngine(spec.Host, platform.layout.Speed, platform.layout.ChecksFencing, weightstore, platform.Engine)
	platform.engines[spec.Host] = engine
	return engine
}

// Engine finds the engine on a host, or nil.
func (platform *Platform) Engine(host string) *Engine { return platform.engines[host] }

// PlainInstance finds the plain instance on a host, or nil.
func (platform *Platform) PlainInstance(host string) *PlainInstance { return platform.plains[host] }

func (platform *Platform) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "address %s", address), ErrListen)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderLimit}
	platform.servers = append(platform.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

const readHeaderLimit = 5 * time.Second

// Stop closes every address and ends every engine.
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
	routes.HandleFunc("GET /hosts", platform.list)
	routes.HandleFunc("DELETE /hosts/{host}", platform.handBack)
	routes.HandleFunc("POST /faults", platform.order)
	routes.HandleFunc("GET /ledger", platform.audit)
	return routes
}

type target struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// list answers in the form of HTTP service discovery, a group for each host.
func (platform *Platform) list(w http.ResponseWriter, _ *http.Request) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	groups := make([]target, 0, len(platform.layout.Hosts))
	for _, spec := range slices.Concat(platform.layout.Nodes, platform.layout.Hosts) {
		if platform.past(platform.returned, spec.Host) {
			continue
		}
		state := "live"
		if platform.past(platform.leaving, spec.Host) {
			state = "leaving"
		}
		groups = append(groups, target{Targets: []string{spec.Address}, Labels: map[string]string{
			"host": spec.Host, "zone": spec.Zone, "domain": spec.Domain, "service": spec.Service, "state": state,
		}})
	}
	answerJSON(w, http.StatusOK, groups)
}

// past tells whether the list shows yet what was marked for a host.
func (platform *Platform) past(marks map[string]time.Time, host string) bool {
	at, marked := marks[host]
	return marked && time.Since(at) >= platform.layout.HostListLag
}

func (platform *Platform) handBack(w http.ResponseWriter, r *http.Request) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.returned[r.PathValue("host")] = time.Now()
	w.WriteHeader(http.StatusNoContent)
}

func (platform *Platform) order(w http.ResponseWriter, r *http.Request) {
	var order FaultCommand
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&order); err != nil {
		answerJSON(w, http.StatusBadRequest, failure{Error: err.Error()})
		return
	}
	if err := platform.InjectFault(order); err != nil {
		answerJSON(w, http.StatusNotFound, failure{Error: err.Error()})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// InjectFault carries out a fault order.
func (platform *Platform) InjectFault(order FaultCommand) error {
	if order.Table != nil {
		platform.Table.SetFault(*order.Table)
	}
	if order.Host == "" && order.Domain == "" {
		return nil
	}
	found := false
	for _, spec := range platform.layout.Hosts {
		if spec.Host == order.Host || order.Domain != "" && spec.Domain == order.Domain {
			platform.faultOne(spec.Host, order)
			found = true
		}
	}
	if !found {
		return errors.New("fakes: no such host or domain")
	}
	return nil
}

func (platform *Platform) faultOne(host string, order FaultCommand) {
	if order.Leaving {
		platform.mutex.Lock()
		platform.leaving[host] = time.Now()
		platform.mutex.Unlock()
	}
	engine, plaininstance := platform.engines[host], platform.plains[host]
	switch {
	case engine != nil && order.Restart:
		engine.Restart()
	case engine != nil && order.Endpoint != nil:
		engine.SetFault(*order.Endpoint)
	case plaininstance != nil && order.Endpoint != nil:
		plaininstance.SetFault(*order.Endpoint)
	}
}

type auditAnswer struct {
	Keys    int `json:"keys"`
	Doubled int `json:"doubled"`
}

func (platform *Platform) audit(w http.ResponseWriter, r *http.Request) {
	doubled, keys := platform.Executions.Duplicates()
	answerJSON(w, http.StatusOK, auditAnswer{Keys: keys, Doubled: doubled})
}

// PlaceHosts lays out so many hosts of a service over zones and domains, with
// addresses that count up from a port.
func PlaceHosts(service string, zones []string, domainsPerZone, hostsPerDomain int, ip string, port int) []HostSpec {
	var specs []HostSpec
	for _, zone := range zones {
		for d := range domainsPerZone {
			domain := fmt.Sprintf("%s-fabric-%d", zone, d+1)
			for h := range hostsPerDomain {
				host := fmt.Sprintf("%s-%s-%d", strings.TrimSuffix(service, "-llm"), domain, h+1)
				address := fmt.Sprintf("%s:%d", ip, port+len(specs))
				specs = append(specs, HostSpec{Host: host, Zone: zone, Domain: domain, Service: service, Address: address})
			}
		}
	}
	return specs
}
