package stress

import (
	"math/rand/v2"
	"time"
)

// TeamKey is a team's key.
type TeamKey struct {
	Team string
	Key  string
}

// Plan says what load to send; arrivals are Poisson, so a slow answer never
// holds the next request back.
type Plan struct {
	Targets        []string
	Keys           []TeamKey
	Model          string
	PlainPath      string
	AtMostOncePath string
	Rate           float64
	Duration       time.Duration
	Seed           uint64
	Prefixes       int
	PromptBytes    int
	Tokens         int
	Mix            Mix
	FirstTokenGoal time.Duration
	InterTokenGoal time.Duration
	Timeout        time.Duration
}

// Mix are the parts of each class in the load.
type Mix struct {
	Chat       float64
	Text       float64
	Plain      float64
	AtMostOnce float64
}

// Class is a kind of request.
type Class string

// The classes.
const (
	ClassChat       Class = "chat-stream"
	ClassText       Class = "text-whole"
	ClassPlain      Class = "plain-read"
	ClassAtMostOnce Class = "once-call"
)

// Classes lists every class.
func Classes() []Class { return []Class{ClassChat, ClassText, ClassPlain, ClassAtMostOnce} }

// arrival is one request as the plan's seed decides it.
type arrival struct {
	at     time.Duration
	number int
	class  Class
	target string
	other  string
	key    TeamKey
	prefix int
}

// arrivals decides every request of a plan beforehand.
func arrivals(plan Plan) []arrival {
	random := rand.New(rand.NewPCG(plan.Seed, plan.Seed^arrivalStream))
	var all []arrival
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / plan.Rate * float64(time.Second))
		if at >= plan.Duration {
			return all
		}
		all = append(all, arrival{
			at: at, number: len(all), class: pickClass(plan.Mix, random.Float64()),
			target: plan.Targets[random.IntN(len(plan.Targets))], other: plan.Targets[random.IntN(len(plan.Targets))],
			key: plan.Keys[random.IntN(len(plan.Keys))], prefix: random.IntN(max(plan.Prefixes, 1)),
		})
	}
}

const arrivalStream = 0x5851f42d4c957f2d

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
