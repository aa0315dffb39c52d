package fleet

// OutsideZones returns the endpoints that placement may use while zones are evacuated:
// none in such a zone, and no member of a replica whose first host is in one. The
// planner takes the others for gone, so that it orders nothing there and makes
// capacity elsewhere. Their replicas stay as they are: what runs there ends normally,
// and they are adopted again once the zone is back.
//
// A member in an evacuated zone whose first host is in another one stays listed, since
// the replica still serves.
func OutsideZones(endpoints []Endpoint, evacuated func(zone string) bool) []Endpoint {
	firstHostZones := map[string]string{}
	for _, endpoint := range endpoints {
		if membership := endpoint.Membership; membership.Replica != "" && membership.Rank == 0 {
			firstHostZones[membership.Replica] = endpoint.Zone
		}
	}
	var outside []Endpoint
	for _, endpoint := range endpoints {
		zone, found := firstHostZones[endpoint.Membership.Replica]
		if !found {
			zone = endpoint.Zone
		}
		if !evacuated(zone) {
			outside = append(outside, endpoint)
		}
	}
	return outside
}
