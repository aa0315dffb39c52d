package lease_test

import "flag"

// A fixed seed and number of checks make runs reproducible; -rapid.seed and
// -rapid.checks on the command line override them.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "6000")
}
