// Package site holds the operators' configuration as traffic uses it: routes,
// services, models, teams and limits, with look-ups by host, path and key.
package site
