package site

import "strings"

// Index answers look-ups in one configuration.
type Index struct {
	Config   Config
	routes   map[string]map[string]*Route
	services map[string]*Service
	teams    map[string]*Team
}

// NewIndex indexes a configuration.
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

// Route finds the route of a host with the longest prefix that begins a path.
// Every prefix ends with a slash, so only the path's own slashes can end one.
func (index *Index) Route(host, path string) (*Route, bool) {
	prefixes := index.routes[strings.ToLower(hostOnly(host))]
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

// Service finds a service by its name.
func (index *Index) Service(name string) (*Service, bool) {
	service, found := index.services[name]
	return service, found
}

// RequiresKey tells whether callers need keys at all.
func (index *Index) RequiresKey() bool { return len(index.Config.Teams) > 0 }

// Team finds the team that holds a key.
func (index *Index) Team(key string) (*Team, bool) {
	team, found := index.teams[key]
	return team, found
}

// Pick chooses one of a route's services by weight; point lies in [0,1).
func (route *Route) Pick(point float64) string {
	total := 0
	for _, target := range route.Targets {
		total += target.Weight
	}
	left := point * float64(total)
	for _, target := range route.Targets {
		left -= float64(target.Weight)
		if left < 0 {
			return target.Service
		}
	}
	if len(route.Targets) == 0 {
		return ""
	}
	return route.Targets[len(route.Targets)-1].Service
}

// Model finds a model of an engine by its name.
func (engine *Engine) Model(name string) (Model, bool) {
	for _, model := range engine.Models {
		if model.Name == name {
			return model, true
		}
	}
	return Model{}, false
}

func hostOnly(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		return host[:colon]
	}
	return host
}
