package site

import (
	"slices"
	"strings"
	"time"
)

// Index finds routes, services and teams of one configuration.
type Index struct {
	Config   Config
	routes   map[string]map[string]*Route // by lower-case host name, then by path prefix
	services map[string]*Service          // by name
	teams    map[string]*Team             // by API key
}

// NewIndex builds the index of a configuration.
func NewIndex(config Config) *Index {
	index := &Index{
		Config: config, routes: map[string]map[string]*Route{},
		services: map[string]*Service{}, teams: map[string]*Team{},
	}
	for i := range config.Routes {
		index.addRoute(&config.Routes[i])
	}
	for i := range config.Services {
		index.services[config.Services[i].Name] = &config.Services[i]
	}
	for i := range config.Teams {
		for _, key := range config.Teams[i].Keys {
			index.teams[key] = &config.Teams[i]
		}
	}
	return index
}

func (index *Index) addRoute(route *Route) {
	host := strings.ToLower(route.Host)
	if index.routes[host] == nil {
		index.routes[host] = map[string]*Route{}
	}
	index.routes[host][route.Prefix] = route
}

// Route returns the route of a host whose prefix is the longest one that the
// path begins with. Every prefix ends with a slash, so only the beginnings of
// the path that end with a slash are looked up.
func (index *Index) Route(host, path string) (*Route, bool) {
	prefixes := index.routes[strings.ToLower(stripPort(host))]
	if len(prefixes) == 0 {
		return nil, false
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route, found := prefixes[path[:end+1]]; found {
			return route, true
		}
	}
	return nil, false
}

// Service returns the service with the given name.
func (index *Index) Service(name string) (*Service, bool) {
	service, found := index.services[name]
	return service, found
}

// RequiresKey reports whether callers need API keys at all: they do once a team
// is configured.
func (index *Index) RequiresKey() bool { return len(index.Config.Teams) > 0 }

// HasHomeRegions reports whether any route or team has home regions.
func (index *Index) HasHomeRegions() bool {
	return slices.ContainsFunc(index.Config.Routes, func(route Route) bool { return len(route.AllowedRegions) > 0 }) ||
		slices.ContainsFunc(index.Config.Teams, func(team Team) bool { return len(team.AllowedRegions) > 0 })
}

// Team returns the team that owns an API key.
func (index *Index) Team(key string) (*Team, bool) {
	team, found := index.teams[key]
	return team, found
}

// Pick returns the name of one of a route's services, chosen by weight, or "" if
// the route has none; random lies in [0,1).
func (route *Route) Pick(random float64) string {
	totalWeight := 0
	for _, target := range route.Targets {
		totalWeight += target.Weight
	}
	remaining := random * float64(totalWeight)
	for _, target := range route.Targets {
		remaining -= float64(target.Weight)
		if remaining < 0 {
			return target.Service
		}
	}
	if len(route.Targets) == 0 {
		return ""
	}
	return route.Targets[len(route.Targets)-1].Service
}

// Model returns the model with the given name.
func (engine *Engine) Model(name string) (Model, bool) {
	for _, model := range engine.Models {
		if model.Name == name {
			return model, true
		}
	}
	return Model{}, false
}

// DelayBetween returns the delay from one zone to another, and whether it is stated. One that is
// stated the other way round counts too.
func (engine *Engine) DelayBetween(from, to string) (time.Duration, bool) {
	if from == to {
		return 0, from != ""
	}
	for _, delay := range engine.Delays {
		if delay.From == from && delay.To == to {
			return delay.OneWay, true
		}
	}
	for _, delay := range engine.Delays {
		if delay.From == to && delay.To == from {
			return delay.OneWay, true
		}
	}
	return 0, false
}

func stripPort(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		return host[:colon]
	}
	return host
}
