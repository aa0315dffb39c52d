// Package fleet plans the replicas of one model service. It forms replicas out
// of free endpoints, opens them once they are complete, ends those that can no
// longer serve and frees their members for other replicas. The package only
// decides: its caller sends the commands and feeds back what became of them.
//
// An endpoint is one server process on a host. A replica is a set of endpoints
// of one fabric domain that serve a model together. The first host of a replica
// is its member of rank 0, which takes its requests. Each replica has an epoch
// of its own; its name holds its model and its epoch.
//
// The node that holds the placement lease plans; it is called the holder. Each
// holder has a higher fencing number than the one before it, and all epochs that
// it assigns are above those of earlier holders.
//
// Two invariants hold even while commands and replies are lost or delayed,
// endpoints are partitioned away and a former holder still sends commands:
//
//   - A first host opens only after every member has reported that it is ready
//     in this replica.
//   - An endpoint joins another replica only when its previous first host can no
//     longer serve. Until then it is quarantined.
//
// The second one decides when members are freed. A first host that responds is
// told to leave, and its reply frees all members. One that does not respond may
// still serve, so the other members are told to leave instead. After the first
// such leave the first host misses a member, so it stalls and, after the stall
// timeout, breaks, even where no node can reach it. The members are freed at the
// end of that time and not before.
//
// A new holder doesn't see those waits in the endpoints' reports: a member that
// has left its replica looks free. It therefore leaves such endpoints alone for
// a stall timeout (they are unconfirmed), unless the report of the previous
// holder or the time for which it has seen them free shows that they are safe.
package fleet
