package fleet

// Order is what an endpoint is told: Join, Open, Close, Leave or Stage.
type Order interface {
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
	Endpoint string
	Address  string
	Orders   int64 // the orders that the endpoint is thought to have accepted
	Order    Order
}

// Reply is what became of a command: Begun, Held, Unfit, Gone or Unheard.
type Reply interface {
	reply()
}

// Begun says that the order was accepted.
type Begun struct{}

// Held says that the state asked for already holds.
type Held struct{}

// Unfit says that the endpoint refused the order in its present state.
type Unfit struct{}

// Gone says that another endpoint has the address.
type Gone struct{}

// Unheard says that no answer came; the order may still be carried out.
type Unheard struct {
	Cause error
}

func (Begun) reply()   {}
func (Held) reply()    {}
func (Unfit) reply()   {}
func (Gone) reply()    {}
func (Unheard) reply() {}
