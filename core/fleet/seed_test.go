package fleet_test

import "flag"

// The seed is fixed, so that each run gives the same result; a flag on the
// command line overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }
