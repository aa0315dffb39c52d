package front

import "flag"

// A fixed seed makes runs reproducible; -rapid.seed on the command line overrides
// it.
func init() { _ = flag.Set("rapid.seed", "20261204") }
