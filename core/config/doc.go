// Package config keeps the sections of the operators' text that are in force
// on a node, and says until when the node may trust that they are the newest.
package config
