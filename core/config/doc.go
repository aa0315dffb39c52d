// Package config merges operators' changes to the spec into numbered versions,
// caches the sections in force on each node, and decides how long a node may
// serve under its cached copy. Package node uses it; the configuration of package
// edge is in package site.
package config
