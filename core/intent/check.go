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
	keyHashBytes   = 32
	maxHosts       = 64
	maxDrainLimit  = time.Hour
	maxNameLength  = 63
	reservedPrefix = "/v1"
)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9]*(-[a-z0-9]+)*$`)

type checker struct {
	text *Spec
	doc  *jsonc.Doc
}

func check(spec *Spec, doc *jsonc.Doc) {
	checker := checker{text: spec, doc: doc}
	checker.name("deployment", spec.Deployment)
	checker.zones()
	checker.objective()
	checker.services()
	checker.cycles()
	checker.teams()
}

func (checker checker) name(path, name string) {
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		checker.doc.AddFault(path, "a kebab-case name of at most 63 letters and digits", strconv.Quote(name))
	}
}

func (checker checker) zones() {
	if len(checker.text.Zones) == 0 {
		checker.doc.AddFault("zones", "at least one availability zone", "none")
	}
	seen := map[string]bool{}
	for i, zone := range checker.text.Zones {
		path := fmt.Sprintf("zones[%d]", i)
		checker.name(path+".name", zone.Name)
		checker.name(path+".region", zone.Region)
		checker.unique(seen, path+".name", zone.Name)
	}
}

func (checker checker) unique(seen map[string]bool, path, name string) {
	if seen[name] {
		checker.doc.AddFault(path, "a name used once", strconv.Quote(name)+" again")
	}
	seen[name] = true
}

func (checker checker) objective() {
	objective := checker.text.Objective
	if objective.DowntimeWeight <= 0 {
		checker.doc.AddFault("objective.downtime-weight", "a number above 0", fmt.Sprint(objective.DowntimeWeight))
	}
	if objective.StrandedWeight <= 0 {
		checker.doc.AddFault("objective.stranded-weight", "a number above 0", fmt.Sprint(objective.StrandedWeight))
	}
}

func (checker checker) services() {
	if len(checker.text.Services) == 0 {
		checker.doc.AddFault("services", "at least one service", "none")
	}
	seen := map[string]bool{}
	models := map[string]bool{}
	prefixes := map[string]bool{}
	for i, service := range checker.text.Services {
		path := fmt.Sprintf("services[%d]", i)
		checker.name(path+".name", service.Name)
		checker.unique(seen, path+".name", service.Name)
		checker.dependencies(path, service)
		if service.DrainLimit <= 0 || service.DrainLimit > maxDrainLimit {
			checker.doc.AddFault(path+".drain-limit", `a duration above "0s" and up to "1h"`, service.DrainLimit.String())
		}
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

func (checker checker) dependencies(path string, service Service) {
	for i, name := range service.DependsOn {
		if _, known := checker.text.ServiceNamed(name); !known {
			at := fmt.Sprintf("%s.depends-on[%d]", path, i)
			checker.doc.AddFault(at, "the name of a service in this text", strconv.Quote(name))
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
			checker.doc.AddFault(at+".method", "a method in capitals", strconv.Quote(call.Method))
		}
		if !strings.HasPrefix(call.Path, "/") {
			checker.doc.AddFault(at+".path", "a path below the prefix that begins with a slash", strconv.Quote(call.Path))
		}
	}
}

func (checker checker) atLeast(path string, number, least int) {
	if number < least {
		checker.doc.AddFault(path, "a whole number of at least "+strconv.Itoa(least), strconv.Itoa(number))
	}
}

func (checker checker) cycles() {
	for i, service := range checker.text.Services {
		if checker.reaches(service, service.Name, map[string]bool{}) {
			path := fmt.Sprintf("services[%d].depends-on", i)
			checker.doc.AddFault(path, "dependencies without a cycle", strconv.Quote(service.Name)+" depending on itself")
		}
	}
}

func (checker checker) reaches(from Service, goal string, visited map[string]bool) bool {
	for _, name := range from.DependsOn {
		if name == goal {
			return true
		}
		next, known := checker.text.ServiceNamed(name)
		if !known || visited[name] {
			continue
		}
		visited[name] = true
		if checker.reaches(next, goal, visited) {
			return true
		}
	}
	return false
}

func (checker checker) teams() {
	if len(checker.text.Teams) == 0 {
		checker.doc.AddFault("teams", "at least one team", "none")
	}
	seen := map[string]bool{}
	keys := map[string]bool{}
	for i, team := range checker.text.Teams {
		path := fmt.Sprintf("teams[%d]", i)
		checker.name(path+".name", team.Name)
		checker.unique(seen, path+".name", team.Name)
		checker.team(path, team, keys)
	}
}

func (checker checker) team(path string, team Team, keys map[string]bool) {
	if len(team.KeySHA256) == 0 {
		checker.doc.AddFault(path+".key-sha256", "at least one key's hash", "none")
	}
	for i, key := range team.KeySHA256 {
		at := fmt.Sprintf("%s.key-sha256[%d]", path, i)
		hash, err := hex.DecodeString(key)
		if err != nil || len(hash) != keyHashBytes || strings.ToLower(key) != key {
			checker.doc.AddFault(at, "64 hexadecimal digits in lower case", strconv.Quote(key))
		}
		checker.unique(keys, at, key)
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
	checker.atLeast(path+".concurrent", team.Concurrent, 1)
}
