package intent

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"hickorybend/core/jsonc"
)

const (
	keyHashBytes    = 32
	maxHosts        = 64 // of one replica
	maxDrainTimeout = time.Hour
	maxNameLength   = 63
	reservedPrefix  = "/v1" // paths of the model API
)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9]*(-[a-z0-9]+)*$`)

// checker validates a decoded spec and adds a fault to its Doc for each error.
type checker struct {
	spec *Spec
	doc  *jsonc.Doc
}

func check(spec *Spec, doc *jsonc.Doc) {
	checker := checker{spec: spec, doc: doc}
	checker.name("deployment", spec.Deployment)
	checker.zones()
	checker.objective()
	checker.services()
	checker.cycles()
	checker.teams()
}

func (checker checker) name(path, name string) {
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		checker.doc.AddFault(path, "a lower-case kebab-case name of at most 63 characters", strconv.Quote(name))
	}
}

func (checker checker) zones() {
	if len(checker.spec.Zones) == 0 {
		checker.doc.AddFault("zones", "at least one availability zone", "none")
	}
	seen := map[string]bool{}
	for i, zone := range checker.spec.Zones {
		path := fmt.Sprintf("zones[%d]", i)
		checker.name(path+".name", zone.Name)
		checker.name(path+".region", zone.Region)
		checker.unique(seen, path+".name", zone.Name)
	}
}

func (checker checker) unique(seen map[string]bool, path, name string) {
	if seen[name] {
		checker.doc.AddFault(path, "a unique value", strconv.Quote(name)+" more than once")
	}
	seen[name] = true
}

func (checker checker) objective() {
	objective := checker.spec.Objective
	if objective.DowntimeWeight <= 0 {
		checker.doc.AddFault("objective.downtime-weight", "a number above 0", fmt.Sprint(objective.DowntimeWeight))
	}
	if objective.StrandedWeight <= 0 {
		checker.doc.AddFault("objective.stranded-weight", "a number above 0", fmt.Sprint(objective.StrandedWeight))
	}
}

func (checker checker) services() {
	if len(checker.spec.Services) == 0 {
		checker.doc.AddFault("services", "at least one service", "none")
	}
	seen := map[string]bool{}
	models := map[string]bool{}
	prefixes := map[string]bool{}
	for i, service := range checker.spec.Services {
		path := fmt.Sprintf("services[%d]", i)
		checker.name(path+".name", service.Name)
		checker.unique(seen, path+".name", service.Name)
		checker.dependencies(path, service)
		checker.drainTimeout(path+".drain-limit", service)
		switch service.Kind {
		case KindModel:
			checker.unique(models, path+".model", service.Model)
			checker.model(path, service)
		case KindPlain:
			checker.unique(prefixes, path+".path-prefix", service.PathPrefix)
			checker.plain(path, service)
		default:
			checker.doc.AddFault(path+".kind", `"model" or "plain"`, strconv.Quote(string(service.Kind)))
		}
	}
}

// drainTimeout checks how long a service's replicas drain. A plain service has none and
// need not state it.
func (checker checker) drainTimeout(path string, service Service) {
	limit := service.DrainTimeout
	if limit < 0 || limit > maxDrainTimeout || limit == 0 && service.Kind != KindPlain {
		checker.doc.AddFault(path, `a duration above "0s" and up to "1h"`, limit.String())
	}
}

func (checker checker) dependencies(path string, service Service) {
	for i, name := range service.DependsOn {
		if _, known := checker.spec.ServiceNamed(name); !known {
			at := fmt.Sprintf("%s.depends-on[%d]", path, i)
			checker.doc.AddFault(at, "the name of a service in this configuration", strconv.Quote(name))
		}
	}
}

func (checker checker) model(path string, service Service) {
	if service.Model == "" {
		checker.doc.AddFault(path+".model", "the model's name", "nothing")
	}
	if service.Version == "" {
		checker.doc.AddFault(path+".version", "the model's version", "nothing")
	}
	checker.atLeast(path+".hosts-per-replica", service.HostsPerReplica, 1)
	if service.HostsPerReplica > maxHosts {
		checker.doc.AddFault(path+".hosts-per-replica", "at most 64", strconv.Itoa(service.HostsPerReplica))
	}
	checker.atLeast(path+".replica-streams", service.ReplicaStreams, 1)
	checker.atLeast(path+".min-replicas", service.MinReplicas, 0)
	checker.atLeast(path+".max-replicas", service.MaxReplicas, max(service.MinReplicas, 1))
	if service.PathPrefix != "" || len(service.AtMostOnceCalls) > 0 {
		checker.doc.AddFault(path, "no path-prefix and no once-calls for a model", "one of them")
	}
}

func (checker checker) plain(path string, service Service) {
	prefix := service.PathPrefix
	wellFormed := strings.HasPrefix(prefix, "/") && len(prefix) > 1 && !strings.HasSuffix(prefix, "/")
	if !wellFormed || prefix == reservedPrefix || strings.HasPrefix(prefix, reservedPrefix+"/") {
		checker.doc.AddFault(path+".path-prefix", `a path such as "/booking", not under "/v1"`, strconv.Quote(prefix))
	}
	if service.HostsPerReplica != 0 || service.Model != "" {
		checker.doc.AddFault(path, "no model and no hosts-per-replica for a plain service", "one of them")
	}
	for i, call := range service.AtMostOnceCalls {
		at := fmt.Sprintf("%s.once-calls[%d]", path, i)
		if call.Method == "" || strings.ToUpper(call.Method) != call.Method {
			checker.doc.AddFault(at+".method", "an HTTP method in upper case", strconv.Quote(call.Method))
		}
		if !strings.HasPrefix(call.Path, "/") {
			checker.doc.AddFault(at+".path", "a path relative to path-prefix that begins with a slash", strconv.Quote(call.Path))
		}
	}
}

func (checker checker) atLeast(path string, number, minimum int) {
	if number < minimum {
		checker.doc.AddFault(path, "a whole number of at least "+strconv.Itoa(minimum), strconv.Itoa(number))
	}
}

func (checker checker) cycles() {
	for i, service := range checker.spec.Services {
		if checker.dependsOn(service, service.Name, map[string]bool{}) {
			path := fmt.Sprintf("services[%d].depends-on", i)
			checker.doc.AddFault(path, "dependencies without a cycle", strconv.Quote(service.Name)+" depending on itself")
		}
	}
}

// dependsOn reports whether a service depends on the target, directly or through
// others.
func (checker checker) dependsOn(from Service, target string, visited map[string]bool) bool {
	for _, name := range from.DependsOn {
		if name == target {
			return true
		}
		next, known := checker.spec.ServiceNamed(name)
		if !known || visited[name] {
			continue
		}
		visited[name] = true
		if checker.dependsOn(next, target, visited) {
			return true
		}
	}
	return false
}

func (checker checker) teams() {
	if len(checker.spec.Teams) == 0 {
		checker.doc.AddFault("teams", "at least one team", "none")
	}
	seen := map[string]bool{}
	seenKeys := map[string]bool{}
	for i, team := range checker.spec.Teams {
		path := fmt.Sprintf("teams[%d]", i)
		checker.name(path+".name", team.Name)
		checker.unique(seen, path+".name", team.Name)
		checker.team(path, team, seenKeys)
	}
}

func (checker checker) team(path string, team Team, seenKeys map[string]bool) {
	if len(team.KeySHA256) == 0 {
		checker.doc.AddFault(path+".key-sha256", "at least one SHA-256 hash of a key", "none")
	}
	for i, key := range team.KeySHA256 {
		at := fmt.Sprintf("%s.key-sha256[%d]", path, i)
		hash, err := hex.DecodeString(key)
		if err != nil || len(hash) != keyHashBytes || strings.ToLower(key) != key {
			checker.doc.AddFault(at, "64 hexadecimal digits in lower case", strconv.Quote(key))
		}
		checker.unique(seenKeys, at, key)
	}
	if team.Priority.Rank() < 0 {
		checker.doc.AddFault(path+".priority", `"live", "standard" or "batch"`, strconv.Quote(string(team.Priority)))
	}
	if team.RequestsPerSecond <= 0 {
		checker.doc.AddFault(path+".requests-per-second", "a number above 0", fmt.Sprint(team.RequestsPerSecond))
	}
	if team.TokensPerSecond <= 0 {
		checker.doc.AddFault(path+".tokens-per-second", "a number above 0", fmt.Sprint(team.TokensPerSecond))
	}
	checker.atLeast(path+".concurrent", team.MaxConcurrent, 1)
}
