// Package peers is the API between nodes: they push changed rows, announce
// configuration changes before they are tried, and ask each other which
// configuration they hold.
package peers
