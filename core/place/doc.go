// Package place decides which hosts form which replica, which spare repairs
// it, which replica drains and which hosts go back, weighing group downtime
// against stranded accelerators.
package place
