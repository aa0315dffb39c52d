// Package shell holds what the commands share: parsing of flags and environment
// variables, logs, signals and exit codes.
package shell
