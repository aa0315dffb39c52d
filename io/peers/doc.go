// Package peers is how nodes speak to each other: rows pushed as they change,
// and the question what another node knows of the store.
package peers
