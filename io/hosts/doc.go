// Package hosts is the client of the platform's host list. It reads the list, in
// the JSON format of Prometheus HTTP service discovery, and hands hosts back to the
// platform. The list lags behind the real state of the hosts.
package hosts
