// Package homes decides where a request may be sent whose route or team has home regions.
//
// Home regions are a promise: only endpoints in them get the request, and its body goes only
// to a node in one of them or in the caller's region. A region that cannot be told, such
// as that of a zone that the settings leave out, is not a home region.
//
// For example, the route allows eu and us and the team allows eu and asia. Only endpoints
// in eu may serve the request. It has come to a node in us, so another node in us or
// one in eu may get its body.
package homes
