package pool_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"hickorybend/io/pool"
)

// TestCopyOfAnswerBearsIDOfPresentRequest guards against a connection that carries an ID twice,
// so that a late copy of the first answer could pass for the second one.
func TestCopyOfAnswerBearsIDOfPresentRequest(t *testing.T) {
	numbers := func(count int) (ids []string) {
		for i := range count {
			ids = append(ids, fmt.Sprint(i))
		}
		return ids
	}
	for _, test := range []struct {
		name  string
		ids   []string
		dials int64
	}{
		{"different IDs", []string{"a", "b", "c"}, 1},
		{"an ID again at once", []string{"a", "a"}, 2},
		{"an ID again after others", append(numbers(20), "0"), 2},
		{"the second connection carries others too", []string{"a", "a", "b", "c", "b"}, 2},
		{"three times", []string{"a", "a", "b", "a"}, 3},
		{"no ID", []string{"", "", ""}, 1},
		{"as many as are remembered", numbers(256), 1},
		{"one more", numbers(257), 2},
		{"an ID again after very many", append(numbers(300), "0"), 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			address, targets := startEndpoint(t, slices.Repeat([]string{okResponse("one", "")}, len(test.ids))...)
			connections := pool.New()
			for _, id := range test.ids {
				sendWithID(t, connections, address, id)
			}
			assert.Equal(t, connections.Dials(), test.dials)
			assert.Equal(t, len(targets()), len(test.ids))
		})
	}
}

// TestRepeatedIDWithinBudget checks that an ID that comes again gets a new connection in place of
// an idle one where the budget allows no further one.
func TestRepeatedIDWithinBudget(t *testing.T) {
	address, targets := startEndpoint(t, okResponse("one", ""), okResponse("one", ""))
	connections := newLimitedPool(address, pool.Budget{Service: "app", Requests: 1})
	sendWithID(t, connections, address, "a")
	sendWithID(t, connections, address, "a")
	assert.Equal(t, connections.Dials(), int64(2))
	assert.Equal(t, connections.CountsByService()["app"].Evicted, int64(1))
	assert.Equal(t, len(targets()), 2)
}

// sendWithID sends a request with an ID and reads its answer.
func sendWithID(t *testing.T, connections *pool.Pool, address, id string) {
	t.Helper()
	exchange, err := connections.Send(context.Background(), address, pool.Request{ID: id, Method: "GET", Target: "/", Host: "a", Header: http.Header{}})
	assert.NilError(t, err)
	_, err = exchange.ReadBody(100)
	assert.NilError(t, err)
	exchange.Release()
}

const headerID = "X-Id"

// newPoolWithIDs returns a pool that tells answers apart by their IDs.
func newPoolWithIDs() *pool.Pool {
	return pool.New(pool.WithAnswerIDs(func(header http.Header) []string { return header.Values(headerID) }))
}

// TestConnectionCarriesTwoRequestsWithoutID guards against a connection on which nothing tells the
// answer to a request without an ID from a copy of the answer to another one.
func TestConnectionCarriesTwoRequestsWithoutID(t *testing.T) {
	for _, test := range []struct {
		name  string
		ids   []string
		dials int64
	}{
		{"none has one", []string{"", "", ""}, 3},
		{"after one with an ID", []string{"a", ""}, 1},
		{"before one with an ID", []string{"", "a", "b"}, 1},
		{"on both sides of one with an ID", []string{"", "a", ""}, 2},
		{"the connection before is used again", []string{"", "", "a", "b"}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			var answers []string
			for _, id := range test.ids {
				answers = append(answers, okResponse("one", headerID+": "+id+"\r\n"))
			}
			address, targets := startEndpoint(t, answers...)
			connections := newPoolWithIDs()
			for _, id := range test.ids {
				sendWithID(t, connections, address, id)
			}
			assert.Equal(t, connections.Dials(), test.dials)
			assert.Equal(t, len(targets()), len(test.ids))
		})
	}
}

// TestAnswerWithIDPassesForOneWithout guards against an answer that bears the ID of some request, and
// passes for the answer to one that has none.
func TestAnswerWithIDPassesForOneWithout(t *testing.T) {
	for _, test := range []struct {
		name   string
		header string
		passes bool
	}{
		{"no ID", "", true},
		{"an empty ID", headerID + ": \r\n", true},
		{"an ID", headerID + ": a\r\n", false},
		{"two IDs", headerID + ": a\r\n" + headerID + ": b\r\n", false},
		{"an empty ID and another", headerID + ": \r\n" + headerID + ": a\r\n", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			address, _ := startEndpoint(t, okResponse("one", test.header))
			exchange, err := newPoolWithIDs().Send(context.Background(), address, pool.Request{Method: "GET", Target: "/", Host: "a", Header: http.Header{}})
			if !test.passes {
				assert.Assert(t, errors.Is(err, pool.ErrIncompleteResponse), "%v", err)
				return
			}
			assert.NilError(t, err)
			exchange.Close()
		})
	}
}

// TestGivenUpRequestLeavesItsAnswer guards against a request that is given up and sent again with its
// ID, and gets the answer to its first sending.
func TestGivenUpRequestLeavesItsAnswer(t *testing.T) {
	late := delayMark + delayMark + delayMark + delayMark + okResponse("first", headerID+": a\r\n")
	address, targets := startEndpoint(t, okResponse("zero", headerID+": z\r\n"), late, okResponse("second", headerID+": a\r\n"))
	connections := newPoolWithIDs()
	sendWithID(t, connections, address, "z")
	request := pool.Request{ID: "a", Method: "GET", Target: "/", Host: "a", Header: http.Header{}}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := connections.Send(ctx, address, request)
	assert.Assert(t, errors.Is(err, pool.ErrIncompleteResponse), "%v", err)
	exchange, err := connections.Send(context.Background(), address, request)
	assert.NilError(t, err)
	body, err := exchange.ReadBody(100)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "second")
	assert.Equal(t, len(targets()), 3)
}
