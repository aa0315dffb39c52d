package front

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Visit is why a request went where it did.
type Visit struct {
	Request  string
	Team     string
	Service  string
	Came     time.Time
	Attempts []Attempt
	Ended    string
}

// Attempt is one sending of a request to a replica or endpoint.
type Attempt struct {
	Target     string
	Load       int
	Candidates int
	Offset     int
	Failed     string
}

// Explainer keeps the routing of the latest requests of this node.
type Explainer struct {
	visits *lru.Cache[string, Visit]
}

const explained = 512

func newExplainer() *Explainer {
	visits, err := lru.New[string, Visit](explained)
	if err != nil {
		panic(err)
	}
	return &Explainer{visits: visits}
}

// Of gives what is known of a request.
func (explainer *Explainer) Of(request string) (Visit, bool) {
	return explainer.visits.Get(request)
}

func (explainer *Explainer) note(visit Visit) {
	explainer.visits.Add(visit.Request, visit)
}
