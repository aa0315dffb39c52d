// Package site holds the operators' configuration as request handlers use it:
// routes, services, models, teams and limits, with look-ups by host, path and key.
package site
