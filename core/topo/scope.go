package topo

import (
	"maps"
	"slices"
)

// Scope says whose requests a digest counts.
type Scope int

// The scopes.
const (
	ScopeUnstated Scope = iota // the digest is of an older build
	ScopeNode                  // those of its sender
	ScopeZone                  // those of all nodes of its sender's zone
	ScopeAll                   // those of all nodes, but for the receiver's in flight
)

// Source is a node that has recently sent a digest.
type Source struct {
	Node  string
	Zone  string
	Scope Scope
}

// Stated returns the source with the scope that its digest has, or must have if it does not
// say.
func (role Role) Stated(source Source, zone string) Source {
	switch {
	case source.Scope != ScopeUnstated:
	case role.Mesh:
		source.Scope = ScopeNode
	case source.Zone != zone:
		source.Scope = ScopeZone
	case !role.IsLeader && source.Node == role.Leader:
		source.Scope = ScopeAll
	default:
		source.Scope = ScopeNode
	}
	return source
}

// Groups returns the sources whose digests together count the requests of all other nodes
// once. Those of one group count the same requests: while a zone gets another leader, both
// send sums for a while, and the new one's lacks nodes at first.
//
// For example, a node of zone a that leads no zone has digests of the leader of its zone
// and of the one before. They form one group. A leader of zone a with the digests of two
// nodes of its zone, and of two leaders of zone b, has three groups.
func (role Role) Groups(zone string, sources []Source) [][]Source {
	var all, single []Source
	sums := map[string][]Source{} // by zone
	for _, source := range sources {
		source = role.Stated(source, zone)
		switch source.Scope {
		case ScopeAll:
			all = append(all, source)
		case ScopeZone:
			sums[source.Zone] = append(sums[source.Zone], source)
		default:
			single = append(single, source)
		}
	}
	if len(all) > 0 && !role.Mesh && !role.IsLeader {
		return [][]Source{all}
	}
	delete(sums, zone) // another leader of this zone sums up the nodes whose digests this one has
	single = slices.DeleteFunc(single, func(source Source) bool { return sums[source.Zone] != nil })
	groups := make([][]Source, 0, len(single)+len(sums))
	for _, source := range single {
		groups = append(groups, []Source{source})
	}
	return slices.AppendSeq(groups, maps.Values(sums))
}
