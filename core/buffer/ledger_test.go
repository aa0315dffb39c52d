package buffer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// held is one claim of a case: who holds how much, since when.
type held struct {
	name   string
	owner  Owner
	bytes  int64
	grewAt int // seconds after start
	none   bool
	whole  bool
}

// expectEnded claims what is held, then lets a last claim grow, and checks which claims end.
func expectEnded(t *testing.T, policy Policy, before []held, last held, ended ...string) {
	t.Helper()
	ledger := NewLedger(policy)
	var got []string
	begin := func(held held) bool {
		at := start.Add(time.Duration(held.grewAt) * time.Second)
		claim := ledger.Begin(held.owner, !held.none, at, func() { got = append(got, held.name) })
		allowed := claim.Grow(held.bytes, at)
		if held.whole {
			claim.Complete()
		}
		return allowed
	}
	for _, held := range before {
		assert.Assert(t, begin(held), "%s", held.name)
	}
	if !begin(last) {
		got = append(got, last.name)
	}
	assert.DeepEqual(t, got, ended)
	bytes, _ := ledger.Held()
	assert.Assert(t, bytes <= policy.Limit, "%d bytes held", bytes)
}

func TestLedgerEndsWhatWeighsLeast(t *testing.T) {
	policy := Policy{Limit: 100, EndpointShare: 40, TeamShare: 50}
	a, b, c, team := Endpoint{"a"}, Endpoint{"b"}, Endpoint{"c"}, Team{"team"}
	for _, test := range []struct {
		name   string
		before []held
		last   held
		ended  []string
	}{
		{"all have room", []held{{"1", a, 40, 0, false, false}, {"2", b, 40, 1, false, false}}, held{"3", c, 20, 2, false, false}, nil},
		{"an endpoint's own share", []held{{"1", a, 30, 0, false, false}, {"2", b, 40, 0, false, false}}, held{"3", a, 20, 2, false, false}, []string{"1"}},
		{"a team's own share", []held{{"1", team, 30, 0, false, false}}, held{"2", team, 30, 1, false, false}, []string{"1"}},
		{"the longest without growth", []held{{"1", a, 40, 1, false, false}, {"2", b, 40, 0, false, false}}, held{"3", c, 30, 2, false, false}, []string{"2"}},
		{"the larger one of two that grow", []held{{"1", a, 10, 2, false, false}, {"2", b, 40, 2, false, false}, {"3", team, 30, 2, false, false}}, held{"4", c, 30, 2, false, false}, []string{"2"}},
		{"a small one among a team's", []held{{"1", team, 30, 0, false, false}, {"2", team, 5, 0, false, false}}, held{"3", team, 20, 0, false, false}, []string{"1"}},
		{"the growing one is the largest", []held{{"1", a, 30, 2, false, false}, {"2", b, 35, 2, false, false}}, held{"3", c, 40, 2, false, false}, []string{"3"}},
		{"a small one that stands still", []held{{"1", a, 5, 0, false, false}, {"2", b, 40, 2, false, false}, {"3", team, 45, 2, false, false}}, held{"4", c, 15, 2, false, false}, []string{"1"}},
		{"what is no answer first", []held{{"1", a, 40, 0, false, false}, {"2", b, 40, 1, true, false}}, held{"3", c, 30, 2, false, false}, []string{"2"}},
		{"the growing one is no answer", []held{{"1", a, 40, 0, false, false}, {"2", b, 40, 1, false, false}}, held{"3", c, 30, 2, true, false}, []string{"3"}},
		{"whole ones stay", []held{{"1", a, 40, 0, false, true}, {"2", b, 40, 1, false, true}}, held{"3", c, 30, 2, false, false}, []string{"3"}},
		{"more than a share at once", nil, held{"1", a, 41, 0, false, false}, []string{"1"}},
	} {
		t.Run(test.name, func(t *testing.T) { expectEnded(t, policy, test.before, test.last, test.ended...) })
	}
}

// TestLedgerStaysWithinItsLimits plays random claims, and checks the sums after each step.
func TestLedgerStaysWithinItsLimits(t *testing.T) {
	policy := Policy{Limit: 1000, EndpointShare: 300, TeamShare: 500}
	random := rand.New(rand.NewPCG(1, 2))
	ledger := NewLedger(policy)
	var claims []*Claim
	for step := range 3000 {
		now := start.Add(time.Duration(step) * time.Millisecond)
		switch random.IntN(5) {
		case 0:
			owner := Owner(Endpoint{fmt.Sprint(random.IntN(6))})
			if random.IntN(3) == 0 {
				owner = Team{fmt.Sprint(random.IntN(3))}
			}
			claims = append(claims, ledger.Begin(owner, random.IntN(4) > 0, now, func() {}))
		case 1:
			if len(claims) > 0 {
				claims[random.IntN(len(claims))].Release()
			}
		case 2:
			if len(claims) > 0 && random.IntN(10) == 0 {
				claims[random.IntN(len(claims))].Complete()
			}
		default:
			if len(claims) > 0 {
				claim := claims[random.IntN(len(claims))]
				if !claim.whole {
					claim.Grow(claim.bytes+random.Int64N(80), now)
				}
			}
		}
		sum, byOwner := int64(0), map[Owner]int64{}
		for claim := range ledger.claims {
			sum += claim.bytes
			byOwner[claim.owner] += claim.bytes
			assert.Assert(t, !claim.released)
		}
		assert.Equal(t, sum, ledger.held)
		assert.Assert(t, sum <= policy.Limit)
		for owner, bytes := range byOwner {
			assert.Assert(t, bytes == ledger.byOwner[owner] && bytes <= policy.share(owner))
		}
	}
}
