// Package admin is the operators' API, server and client: it changes and shows
// the configuration, starts and cancels drains, reports a node's state and
// explains how a request was routed.
package admin
