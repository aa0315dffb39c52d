package stress

import (
	"math/rand/v2"
	"time"
)

// TeamKey is the API key of a team.
type TeamKey struct {
	Team string
	Key  string
}

// Plan is the load to send. Arrivals are a Poisson process that doesn't depend on
// responses, so a slow response never delays the next request.
type Plan struct {
	// Targets are the nodes' addresses for callers.
	Targets []string
	Keys    []TeamKey
	Model   string
	// PlainPath is the path prefix of a plain service.
	PlainPath string
	// AtMostOncePath is the path of an at-most-once call, below PlainPath.
	AtMostOncePath string
	// Rate is the average number of requests a second.
	Rate     float64
	Duration time.Duration
	// Seed decides the arrivals and their classes, targets, team keys and prompts.
	Seed uint64
	// Prefixes is the number of distinct prefixes that the prompts share. 0 counts
	// as 1 and also makes the system message of each chat unique.
	Prefixes int
	// PromptBytes is the length of the shared prefix of a prompt.
	PromptBytes int
	// Tokens is the number of tokens in a completion.
	Tokens int
	Mix    Mix
	// FirstTokenGoal and InterTokenGoal are the latency goals that a response
	// has to meet to count as within goals.
	FirstTokenGoal time.Duration
	InterTokenGoal time.Duration
	// Timeout bounds each request.
	Timeout time.Duration
}

// Mix holds the weight of each class in the load; the weights need not sum to 1.
type Mix struct {
	Chat       float64
	Text       float64
	Plain      float64
	AtMostOnce float64
}

// Class is the kind of a request.
type Class string

// The classes.
const (
	ClassChat       Class = "chat-stream" // a streamed chat completion
	ClassText       Class = "text-whole"  // a text completion that is not streamed
	ClassPlain      Class = "plain-read"  // a GET to the plain service
	ClassAtMostOnce Class = "once-call"   // an at-most-once call, sent twice
)

// Classes lists every class.
func Classes() []Class { return []Class{ClassChat, ClassText, ClassPlain, ClassAtMostOnce} }

// arrival is one request of the load. offset is the time from the start of the load
// to the request. secondTarget gets the repeat of an at-most-once call.
type arrival struct {
	offset       time.Duration
	number       int
	class        Class
	target       string
	secondTarget string
	key          TeamKey
	prefix       int
}

// arrivals generates every request of a plan from its seed.
func arrivals(plan Plan) []arrival {
	random := rand.New(rand.NewPCG(plan.Seed, plan.Seed^pcgStream))
	var all []arrival
	offset := time.Duration(0)
	for {
		offset += time.Duration(random.ExpFloat64() / plan.Rate * float64(time.Second))
		if offset >= plan.Duration {
			return all
		}
		all = append(all, arrival{
			offset: offset, number: len(all), class: pickClass(plan.Mix, random.Float64()),
			target: plan.Targets[random.IntN(len(plan.Targets))], secondTarget: plan.Targets[random.IntN(len(plan.Targets))],
			key: plan.Keys[random.IntN(len(plan.Keys))], prefix: random.IntN(max(plan.Prefixes, 1)),
		})
	}
}

// pcgStream derives the second seed of the generator from the first.
const pcgStream = 0x5851f42d4c957f2d

// pickClass picks a class by weight; draw is a random number, uniform in [0, 1).
func pickClass(mix Mix, draw float64) Class {
	total := mix.Chat + mix.Text + mix.Plain + mix.AtMostOnce
	draw *= total
	switch {
	case draw < mix.Chat:
		return ClassChat
	case draw < mix.Chat+mix.Text:
		return ClassText
	case draw < mix.Chat+mix.Text+mix.Plain:
		return ClassPlain
	default:
		return ClassAtMostOnce
	}
}
