package fleet

import "time"

// Operation is what a command asks for: Join, Open, Close, Leave or Stage.
type Operation interface {
	operation()
}

// Join makes an endpoint a member of a replica.
type Join struct {
	Replica string
	Epoch   int64
	Model   string
	Members []string // endpoint IDs by rank; the first one is the first host
}

// Open makes a replica's first host serve requests.
type Open struct {
	Replica string
	Epoch   int64
}

// Close makes a replica's first host finish the requests in flight and take no
// more.
type Close struct {
	Replica string
	Epoch   int64
}

// Leave ends an endpoint's membership in a replica at once.
type Leave struct {
	Replica string
	Epoch   int64
}

// Stage loads a model's weights onto the endpoint's host.
type Stage struct {
	Model string
}

func (Join) operation()  {}
func (Open) operation()  {}
func (Close) operation() {}
func (Leave) operation() {}
func (Stage) operation() {}

// Command is an operation for one endpoint. The endpoint carries it out only if
// its command count is the expected one.
type Command struct {
	Endpoint             string
	Address              string
	StartedAt            time.Time // start of the incarnation that it is meant for
	ExpectedCommandCount int64     // precondition: the endpoint's command count as last known
	Operation            Operation
}

// Reply is the outcome of a command: Accepted, AlreadyApplied, Rejected,
// WrongEndpoint or Unknown.
type Reply interface {
	reply()
}

// Accepted says that the endpoint has accepted the command and carries it out.
type Accepted struct{}

// AlreadyApplied says that the endpoint is in the requested state already. It is
// also the reply to a Leave that takes effect, which it does at once.
type AlreadyApplied struct{}

// Rejected says that the endpoint cannot carry out the command in its present
// state, or has accepted another number of commands than expected.
type Rejected struct{}

// WrongEndpoint says that another endpoint has the address.
type WrongEndpoint struct{}

// Unknown says that no reply came, or one that tells nothing; the command may still take
// effect.
type Unknown struct {
	Cause    error
	Answered bool // by something, so that a next command would be answered as fast
}

func (Accepted) reply()       {}
func (AlreadyApplied) reply() {}
func (Rejected) reply()       {}
func (WrongEndpoint) reply()  {}
func (Unknown) reply()        {}
