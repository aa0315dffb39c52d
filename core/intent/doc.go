// Package intent holds the operators' text: its shape, its checks, and its
// division into sections that are versioned one by one.
package intent
