package entry

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/reach"
	"hickorybend/core/site"
	"hickorybend/io/pool"
	"hickorybend/platform"
	"hickorybend/platform/fakes"
)

// answerWith listens at an address, answers the first request with a text, and closes the
// connection.
func answerWith(t *testing.T, text string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 4096))
		_, _ = conn.Write([]byte(text))
		_ = conn.Close()
	}()
	return listener.Addr().String()
}

// exchangeOnce makes one attempt, at an endpoint or another node that answers with a text, at
// a request that may run once, and returns its result.
func exchangeOnce(t *testing.T, text string, isPeer bool) result {
	t.Helper()
	return exchangeWith(t, text, &reach.Candidate{ID: "e-1", IsPeer: isPeer, Load: &reach.Load{}})
}

// exchangeWith does so at a candidate, of which it sets the address.
func exchangeWith(t *testing.T, text string, candidate *reach.Candidate) result {
	t.Helper()
	candidate.Address = answerWith(t, text)
	server := New(pool.New(), nil)
	request := &request{
		server: server, r: httptest.NewRequest("POST", "/", nil), snapshot: &reach.Snapshot{}, deadline: time.Now().Add(time.Minute), service: "app",
		route: &site.Route{Kind: site.AtMostOnce{}, MaxAttempts: 3}, header: platform.RequestHeader{RequestID: "mine"},
	}
	request.counted.Store(true)
	ctx, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	return request.exchange(&attempt{candidate: candidate, ctx: ctx, cancel: cancel, sentAt: time.Now()})
}

// TestOutcomeOfAnotherRequest guards against a request that runs twice because what another
// node reports of another request is treated as this one's, or because an endpoint reports it.
func TestOutcomeOfAnotherRequest(t *testing.T) {
	head := "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
	rejected := head + "Hickorybend-Peer-Outcome: rejected\r\n"
	for _, test := range []struct {
		name   string
		text   string
		isPeer bool
		notRun bool
	}{
		{"of this request", rejected + fakes.IDLine("mine") + "\r\n", true, true},
		{"of another request", rejected + fakes.IDLine("another") + "\r\n", true, false},
		{"of no request", rejected + "\r\n", true, false},
		{"it may have run", head + "Hickorybend-Peer-Outcome: failed\r\n" + fakes.IDLine("mine") + "\r\n", true, false},
		{"an endpoint's", rejected + fakes.IDLine("mine") + "\r\n", false, false},
		{"an endpoint's without id", rejected + "\r\n", false, false},
		{"an endpoint's rejection", rejected + fakes.IDLine("mine") + fakes.NotExecutedLine + "\r\n", false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			outcome := exchangeOnce(t, test.text, test.isPeer)
			_, notRun := outcome.(notExecuted)
			assert.Equal(t, notRun, test.notRun, "%#v", outcome)
		})
	}
}
