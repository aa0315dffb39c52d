// Package entry is the callers' surface on the users' platform: it passes each
// request to one endpoint and hands back that endpoint's whole answer, or a
// failure that says truly whether the request may have run.
package entry
