// Package peers is the API between nodes, server and client: nodes push changed rows,
// announce configuration changes before they are committed, and ask each other which
// configuration they hold.
package peers
