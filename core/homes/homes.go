package homes

import (
	"slices"

	"hickorybend/core/site"
)

// Homes is the home regions of a request. The zero value allows every region.
type Homes struct {
	restricted bool
	regions    []string
}

// Of returns the home regions of a request: those that its route and its team both allow, where
// both have some. An empty list stands for none stated.
func Of(route, team []string) Homes {
	switch {
	case len(route) == 0 && len(team) == 0:
		return Homes{}
	case len(route) == 0:
		return Homes{restricted: true, regions: team}
	case len(team) == 0:
		return Homes{restricted: true, regions: route}
	}
	var both []string
	for _, region := range route {
		if slices.Contains(team, region) {
			both = append(both, region)
		}
	}
	return Homes{restricted: true, regions: both}
}

// Restricted reports whether the request has home regions.
func (homes Homes) Restricted() bool { return homes.restricted }

// Regions returns the home regions, each once.
func (homes Homes) Regions() []string {
	return slices.Compact(slices.Sorted(slices.Values(homes.regions)))
}

// AllowsEndpoint reports whether an endpoint in a region may get the request; the region is
// empty if it is not known.
func (homes Homes) AllowsEndpoint(region string) bool {
	return !homes.restricted || region != "" && slices.Contains(homes.regions, region)
}

// AllowsNode reports whether a node in a region may get the body of the request; either region is
// empty if it is not known.
func (homes Homes) AllowsNode(region, callersRegion string) bool {
	return homes.AllowsEndpoint(region) || region != "" && region == callersRegion
}

// Zones tells the regions of zones.
type Zones struct {
	OwnZone   string            // of this node
	OwnRegion string            // of this node; empty if not stated
	Regions   map[string]string // by zone
}

// RegionOf returns the region of a zone, or "" if it is not known. This node's own zone is in
// this node's region if nothing else is stated.
func (zones Zones) RegionOf(zone string) string {
	if zone == "" {
		return ""
	}
	if region := zones.Regions[zone]; region != "" || zone != zones.OwnZone {
		return region
	}
	return zones.OwnRegion
}

// Own returns the region of this node, or "" if it is not known.
func (zones Zones) Own() string {
	if zones.OwnRegion != "" {
		return zones.OwnRegion
	}
	return zones.RegionOf(zones.OwnZone)
}

// knows reports whether a region is that of this node or of a zone.
func (zones Zones) knows(region string) bool {
	if region == "" || region == zones.OwnRegion {
		return region != ""
	}
	for _, known := range zones.Regions {
		if region == known {
			return true
		}
	}
	return false
}

// Unknown is the home regions of a configuration that are no zone's, and who names them.
type Unknown struct {
	Regions []string
	Routes  []string
	Teams   []string
}

// FindUnknown returns the home regions of a configuration that are no zone's.
func FindUnknown(config site.Config, zones Zones) Unknown {
	unknown := Unknown{}
	add := func(allowed []string, name string, names *[]string) {
		before := len(*names)
		for _, region := range allowed {
			if zones.knows(region) {
				continue
			}
			if !slices.Contains(unknown.Regions, region) {
				unknown.Regions = append(unknown.Regions, region)
			}
			if len(*names) == before {
				*names = append(*names, name)
			}
		}
	}
	for _, route := range config.Routes {
		add(route.AllowedRegions, route.Name, &unknown.Routes)
	}
	for _, team := range config.Teams {
		add(team.AllowedRegions, team.Name, &unknown.Teams)
	}
	return unknown
}
