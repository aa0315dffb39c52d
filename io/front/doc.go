// Package front is the HTTP front end of package node for callers; package entry
// is that of package edge. It serves the OpenAI-compatible API of the models, and
// forwards requests to plain services, which are HTTP services below a path prefix.
//
// A request is authenticated by its team's key, admitted or rejected at once,
// and routed to a replica of the model or an endpoint of the plain service. The
// stream of a model is checked chunk by chunk, and is resumed on another
// replica when it breaks off. A call that its service marks as at-most-once
// runs only under a claim on its idempotency key in the table service.
package front
