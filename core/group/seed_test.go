package group_test

import "flag"

// init fixes the seed, so that a run is repeatable. The flag -rapid.seed on the
// command line overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }
