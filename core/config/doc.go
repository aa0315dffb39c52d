// Package config merges operators' changes to the spec into numbered versions,
// caches the sections in force on each node, and decides how long a node may
// serve under its cached copy.
package config
