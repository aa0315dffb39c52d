// Package reach chooses the endpoint for a request, or rejects the request. It
// decides by what this node knows of the endpoints and of the load that all
// nodes put on them.
package reach
