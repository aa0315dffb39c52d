package retry_test

import "flag"

// The seed is fixed, so that a run gives the same verdict each time; the
// command line goes before it.
func init() { _ = flag.Set("rapid.seed", "20261204") }
