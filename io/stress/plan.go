package stress

import (
	"math/rand/v2"
	"time"
)

// Key is a team's key.
type Key struct {
	Team string
	Key  string
}

// Plan says what load to send; arrivals are Poisson, so a slow answer never
// holds the next request back.
type Plan struct {
	Targets     []string
	Keys        []Key
	Model       string
	PlainPath   string
	OncePath    string
	Rate        float64
	Length      time.Duration
	Seed        uint64
	Prefixes    int
	PromptBytes int
	Tokens      int
	Shares      Shares
	FirstGoal   time.Duration
	BetweenGoal time.Duration
	Timeout     time.Duration
}

// Shares are the parts of each class in the load.
type Shares struct {
	Chat  float64
	Whole float64
	Plain float64
	Once  float64
}

// Class is a kind of request.
type Class string

// The classes.
const (
	ClassChat  Class = "chat-stream"
	ClassWhole Class = "text-whole"
	ClassPlain Class = "plain-read"
	ClassOnce  Class = "once-call"
)

// Classes lists every class.
func Classes() []Class { return []Class{ClassChat, ClassWhole, ClassPlain, ClassOnce} }

// arrival is one request as the plan's seed decides it.
type arrival struct {
	at     time.Duration
	number int
	class  Class
	target string
	other  string
	key    Key
	prefix int
}

// arrivals decides every request of a plan beforehand.
func arrivals(plan Plan) []arrival {
	random := rand.New(rand.NewPCG(plan.Seed, plan.Seed^arrivalStream))
	var all []arrival
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / plan.Rate * float64(time.Second))
		if at >= plan.Length {
			return all
		}
		all = append(all, arrival{
			at: at, number: len(all), class: pickClass(plan.Shares, random.Float64()),
			target: plan.Targets[random.IntN(len(plan.Targets))], other: plan.Targets[random.IntN(len(plan.Targets))],
			key: plan.Keys[random.IntN(len(plan.Keys))], prefix: random.IntN(max(plan.Prefixes, 1)),
		})
	}
}

const arrivalStream = 0x5851f42d4c957f2d

func pickClass(shares Shares, draw float64) Class {
	total := shares.Chat + shares.Whole + shares.Plain + shares.Once
	draw *= total
	switch {
	case draw < shares.Chat:
		return ClassChat
	case draw < shares.Chat+shares.Whole:
		return ClassWhole
	case draw < shares.Chat+shares.Whole+shares.Plain:
		return ClassPlain
	default:
		return ClassOnce
	}
}
