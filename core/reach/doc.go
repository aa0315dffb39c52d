// Package reach chooses the endpoint for a request, or rejects the request, by
// what this node knows of the endpoints and of the load of all nodes on them.
package reach
