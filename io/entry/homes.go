package entry

import (
	"github.com/cockroachdb/errors"

	"hickorybend/core/homes"
	"hickorybend/core/reach"
	"hickorybend/core/site"
)

// errNotHome means that an endpoint or node is in none of the regions that may get the request.
// Its text can reach the caller in the body of a 502.
var errNotHome = errors.New("entry: the endpoint is in no home region of the request")

// WithRegion sets the region of this node, which is that of the callers that connect to it.
func WithRegion(region string) Option { return func(server *Server) { server.region = region } }

// currentHomes returns the home regions of the request by the newest configuration, which may be
// newer than the one that has admitted it: a stream can be resumed much later.
func (request *request) currentHomes() homes.Homes {
	route, team := request.route.AllowedRegions, request.teamRegions
	if index := request.server.newestIndex(); index != nil && request.r != nil {
		if current, found := index.Route(request.r.Host, request.r.URL.EscapedPath()); found {
			route = current.AllowedRegions
		}
		if current, found := index.Team(request.header.Key); found && request.header.HasKey {
			team = current.AllowedRegions
		}
	}
	return homes.Of(route, team)
}

// newestIndex returns the newest configuration, or nil before the first.
func (server *Server) newestIndex() *site.Index {
	if server.snapshot == nil {
		return nil
	}
	snapshot := server.snapshot.Load()
	if snapshot == nil {
		return nil
	}
	return snapshot.Index
}

// mayGet reports whether a candidate may get the request by its home regions.
func (request *request) mayGet(candidate *reach.Candidate) bool {
	return reach.Request{Homes: request.currentHomes(), CallersRegion: request.server.region}.Allows(candidate)
}
