package fleet_test

import "flag"

// init fixes the seed, so that each run gives the same result. A flag on the
// command line overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }
