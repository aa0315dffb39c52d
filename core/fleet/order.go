package fleet

// Operation is what an endpoint is told: Join, Open, Close, Leave or Stage.
type Operation interface {
	order()
}

// Join makes an endpoint a member of a replica.
type Join struct {
	Replica string
	Epoch   int64
	Model   string
	Members []string // IDs; the first takes the requests
}

// Open lets a replica's first host serve.
type Open struct {
	Replica string
	Epoch   int64
}

// Close lets a replica's first host finish its work and take no more.
type Close struct {
	Replica string
	Epoch   int64
}

// Leave ends an endpoint's membership at once.
type Leave struct {
	Replica string
	Epoch   int64
}

// Stage copies a model's weights to the endpoint's host.
type Stage struct {
	Model string
}

func (Join) order()  {}
func (Open) order()  {}
func (Close) order() {}
func (Leave) order() {}
func (Stage) order() {}

// Command is an order with its addressee, which carries it out only while the
// count of its orders is as expected.
type Command struct {
	Endpoint             string
	Address              string
	ExpectedCommandCount int64 // the orders that the endpoint is thought to have accepted
	Operation            Operation
}

// Reply is what became of a command: Begun, Held, Unfit, Gone or Unheard.
type Reply interface {
	reply()
}

// Accepted says that the order was accepted.
type Accepted struct{}

// AlreadyApplied says that the state asked for already holds.
type AlreadyApplied struct{}

// Rejected says that the endpoint refused the order in its present state.
type Rejected struct{}

// WrongEndpoint says that another endpoint has the address.
type WrongEndpoint struct{}

// Unknown says that no answer came; the order may still be carried out.
type Unknown struct {
	Cause error
}

func (Accepted) reply()       {}
func (AlreadyApplied) reply() {}
func (Rejected) reply()       {}
func (WrongEndpoint) reply()  {}
func (Unknown) reply()        {}
