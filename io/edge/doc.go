// Package edge is a node on the users' platform. It follows the platform's
// tables, exchanges digests with the other nodes, places replicas while it
// holds the placement lease, and publishes a snapshot of the reachable endpoints
// for request handling.
//
// The store is the platform's table service. One node in each availability zone,
// its leader, follows all tables there. The other nodes of the zone get most
// changes from the leader or another peer. Few nodes form a mesh, in which each
// exchanges digests with every other. Of many nodes, those that are not leaders
// exchange digests with their leader only; it adds them up for its zone and for
// the other leaders. The leader of a zone also watches the zone's endpoints for all other
// nodes: it probes those that any node suspects, and its digest lists those that are lost.
// Package topo assigns these roles.
//
// A replica's first host is its member of rank 0, which takes its requests.
package edge
