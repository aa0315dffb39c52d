// Package site holds the operators' configuration of the users' platform, which
// package platform decodes, as packages edge and entry use it: routes, services,
// models, teams and limits, with look-ups by host, path and key.
package site
