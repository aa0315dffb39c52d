package view

import (
	"strings"

	"hickorybend/core/intent"
	"hickorybend/core/route"
)

// View is everything that traffic needs to know of the control state.
type View struct {
	Serving           bool
	Nodes             int
	AliveIncarnations []string
	Models            []ModelService
	PlainServices     []PlainService
	Teams             []intent.Team
}

// ModelService is a model service and its candidates.
type ModelService struct {
	Service intent.Service
	Table   *route.Table
}

// PlainService is a plain service and its endpoints.
type PlainService struct {
	Service intent.Service
	Table   *route.Table
}

// ModelNamed finds the service that serves a model.
func (view *View) ModelNamed(model string) (ModelService, bool) {
	for _, candidate := range view.Models {
		if candidate.Service.Model == model {
			return candidate, true
		}
	}
	return ModelService{}, false
}

// PlainAt finds the plain service whose path prefix covers a path, and the
// path below the prefix.
func (view *View) PlainAt(path string) (PlainService, string, bool) {
	for _, candidate := range view.PlainServices {
		below, found := strings.CutPrefix(path, candidate.Service.PathPrefix)
		if found && (below == "" || below[0] == '/') {
			return candidate, below, true
		}
	}
	return PlainService{}, "", false
}

// TeamWithKey finds the team that owns the key with a hash.
func (view *View) TeamWithKey(hash string) (intent.Team, bool) {
	for _, candidate := range view.Teams {
		for _, key := range candidate.KeySHA256 {
			if key == hash {
				return candidate, true
			}
		}
	}
	return intent.Team{}, false
}

// AtMostOnce tells whether a call below the service's prefix may not be repeated.
func (plainservice PlainService) AtMostOnce(method, below string) bool {
	for _, call := range plainservice.Service.AtMostOnceCalls {
		if call.Method == method && matches(call.Path, below) {
			return true
		}
	}
	return false
}

// matches compares a path with a pattern in which "*" stands for one segment.
func matches(pattern, path string) bool {
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
