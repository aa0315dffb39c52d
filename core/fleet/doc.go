// Package fleet plans the replicas of one model service for package edge; package
// place does that for package node. Fleet forms replicas out of free endpoints,
// opens them once they are complete, ends those that can no longer serve and
// frees their members for other replicas. It only decides: its caller sends the
// commands and feeds back what became of them.
//
// An endpoint is one server process on a host. A replica is a set of endpoints
// of one fabric domain that serve a model together. The first host of a replica
// is its member of rank 0, which takes its requests. Each replica has an epoch,
// a number that no other replica of the service has; its name consists of its
// model and its epoch.
//
// The node that holds the placement lease plans; it is called the holder. Each
// holder has a higher fencing number than the one before it, and all epochs that
// it assigns are above those of earlier holders.
//
// Loading a model's weights takes ten seconds or more, so hosts load them in
// advance; this is called staging. An endpoint is prepared for a model if its
// host has the weights or its last replica was one of that model. A spare is an
// endpoint that belongs to no replica. A replica that serves may be ended to
// give its hosts to a model that lacks replicas more; it is then called a donor.
//
// Before the first request, replicas are formed by a packing: a plan of the replicas
// of all models in all domains. Packings are compared by what they serve, then by
// what survives the loss of a host and of a domain. Later, replicas follow a target: the
// numbers of replicas in each domain that are worth most at the peak of the demand, less
// the cost of getting there (package worth). It is computed anew when endpoints,
// replicas, staged weights or the needs change, but not with each rise and fall of the load.
// Where the peak is not known, because the engine's speed is not configured, each pass
// forms, repairs and converts replicas by what each model lacks at the time.
//
// Two invariants hold even while commands and replies are lost or delayed,
// endpoints are partitioned away and a former holder still sends commands:
//
//   - A first host opens only after every member has reported that it is ready
//     in this replica.
//   - An endpoint joins another replica only when its previous first host can no
//     longer serve. Until then it is quarantined.
//
// The second invariant decides when members are freed. A first host that
// responds is told to leave, and its reply frees all members. A first host that
// does not respond may still serve, so the other members are told to leave
// instead. Once one of them has left, the first host lacks a member. It then
// stalls, which means that it runs no requests. After the stall timeout it
// breaks: it serves no more in this replica, even where no node can reach it.
// The members are freed at the end of that time and not before.
//
// A new holder can't tell from the endpoints' reports that members wait: a
// member that has left its replica looks free. Such endpoints are unconfirmed:
// the new holder uses them only after a stall timeout. It uses them earlier if
// they are cleared, which does not rest on what a node has seen or missed: the
// previous holder reports which endpoints could join a replica and how many
// commands they had accepted then, and each Join has that number as its condition.
package fleet
