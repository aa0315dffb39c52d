package view

import (
	"strings"

	"hickorybend/core/intent"
	"hickorybend/core/route"
)

// View is the state of the control loop that request handlers need.
type View struct {
	Serving           bool     // whether this node may serve requests now
	Nodes             int      // number of live nodes, this one included
	AliveIncarnations []string // incarnations of these nodes
	Models            []ModelService
	PlainServices     []PlainService
	Teams             []intent.Team
}

// ModelService is a service that serves a model, and its replicas.
type ModelService struct {
	Service intent.Service
	Table   *route.Table
}

// PlainService is a service without models, and its endpoints.
type PlainService struct {
	Service intent.Service
	Table   *route.Table
}

// ModelNamed returns the service that serves a model.
func (view *View) ModelNamed(model string) (ModelService, bool) {
	for _, modelservice := range view.Models {
		if modelservice.Service.Model == model {
			return modelservice, true
		}
	}
	return ModelService{}, false
}

// PlainAt returns the plain service whose path prefix covers a path, and the rest
// of the path below the prefix.
func (view *View) PlainAt(path string) (PlainService, string, bool) {
	for _, plainservice := range view.PlainServices {
		below, found := strings.CutPrefix(path, plainservice.Service.PathPrefix)
		if found && (below == "" || below[0] == '/') {
			return plainservice, below, true
		}
	}
	return PlainService{}, "", false
}

// TeamWithKey returns the team that owns the key with the given SHA-256 hash.
func (view *View) TeamWithKey(hash string) (intent.Team, bool) {
	for _, team := range view.Teams {
		for _, key := range team.KeySHA256 {
			if key == hash {
				return team, true
			}
		}
	}
	return intent.Team{}, false
}

// AtMostOnce reports whether a call must run at most once; below is its path
// below the service's prefix.
func (plainservice PlainService) AtMostOnce(method, below string) bool {
	for _, call := range plainservice.Service.AtMostOnceCalls {
		if call.Method == method && matchesPath(call.Path, below) {
			return true
		}
	}
	return false
}

// matchesPath reports whether a path matches a pattern, in which "*" stands for
// one segment. A slash at the end of the path is ignored.
func matchesPath(pattern, path string) bool {
	want := strings.Split(pattern, "/")
	have := strings.Split(strings.TrimSuffix(path, "/"), "/")
	if len(want) != len(have) {
		return false
	}
	for i := range want {
		if want[i] != "*" && want[i] != have[i] {
			return false
		}
	}
	return true
}
