// Package meter counts what the node does and shows it in the text form that
// common scrapers read.
package meter
