// Package delay tracks how late a node runs its own periodic work.
//
// A node whose processor is overloaded reads answers late. To such a node, endpoints
// that answer at once look as silent as those that are gone. What it concludes from a
// missing answer holds only if the node itself was on time while it waited.
//
// For example, the work is due each 100 ms. It runs at 10.0 s, at 10.1 s and, as the node
// is overloaded, next at 10.45 s. A request that was sent at 10.12 s and timed out at
// 10.32 s proves nothing, and one that was sent at 10.46 s does.
package delay
