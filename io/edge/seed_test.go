package edge

import "flag"

// init fixes the seed, so that each run gives the same result, and the number of
// checks. Flags on the command line override them.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "3000")
}
