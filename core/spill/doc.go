// Package spill decides whether a request is sent to another zone, and how many of them are.
//
// Traffic between zones is slower and costs money, so requests stay in their zone as long as they
// are served well on time there. Where they would not be, a part of them goes to replicas of another
// zone that would serve them clearly sooner, network delays included. The part grows with the
// advantage and is damped, because all nodes of the zone decide by the same figures, which
// can be a second old: if each sent everything, they would fill the other zone together
// and come back together.
//
// For example, 500 ms are left. A request would get its first event after 400 ms here and after 150 ms
// in another zone. The advantage is half of the time left, so half of the damped part goes there.
// At 200 ms here none would: that is well in time.
package spill
