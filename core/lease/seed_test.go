package lease_test

import "flag"

// init fixes the seed and the number of checks, so that a run is repeatable. The
// flags of the command line override them.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "3000")
}
