package config_test

import "flag"

// The seed is fixed, so that each run gives the same result; a seed on the
// command line takes precedence.
func init() { _ = flag.Set("rapid.seed", "20261204") }
