// Package reach chooses the endpoint for a request, or rejects the request, for
// packages edge and entry; package route does that for package node. Reach
// decides by what this node knows of the endpoints and of the load that all
// nodes put on them.
package reach
