// Package retry limits how often a node sends a request again to another
// endpoint, so that all nodes together stay within one budget without
// coordination.
package retry
