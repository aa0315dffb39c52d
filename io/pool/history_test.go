package pool_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"

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
