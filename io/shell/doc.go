// Package shell is what the commands have in common: flags with their
// environment, logs, signals and exit codes.
package shell
