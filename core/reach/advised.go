package reach

// Take returns the candidate with an ID if the request may be sent there, and takes this node's
// turn at it, as Choose does. Another node has chosen it, and may not know what this node
// holds against it.
func Take(servicepool *ServicePool, request Request, id string) *Candidate {
	if servicepool == nil {
		return nil
	}
	for _, candidate := range servicepool.candidates(request.Model) {
		if candidate.ID != id {
			continue
		}
		if !candidate.usable(request) || !candidate.Load.TakeTurn(request.Now) {
			return nil
		}
		return candidate
	}
	return nil
}

// Unusable returns the IDs of the candidates that the request may not be sent to.
func Unusable(servicepool *ServicePool, request Request) []string {
	if servicepool == nil {
		return nil
	}
	var ids []string
	for _, candidate := range servicepool.candidates(request.Model) {
		if !candidate.usable(request) {
			ids = append(ids, candidate.ID)
		}
	}
	return ids
}

// usable reports whether nothing keeps Choose from sending the request to the candidate.
func (candidate *Candidate) usable(request Request) bool { return candidate.obstacle(request) == "" }
