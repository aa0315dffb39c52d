package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/reach"
	"hickorybend/platform/fakes"
)

// TestHeadersOfAnotherAnswerApply guards against an endpoint that gets no requests, or more than its
// limit, because of what an answer to another request says of it. It may be an old one. That an endpoint
// leaves stays true, whichever answer says so.
func TestHeadersOfAnotherAnswerApply(t *testing.T) {
	const statement = "Server-Leaving: 1\r\nServer-Limit: 2\r\nRetry-After: 60\r\n"
	for _, test := range []struct {
		name    string
		headers string
		applies bool
	}{
		{"of this request", fakes.IDLine("mine") + fakes.NotExecutedLine, true},
		{"of another request", fakes.IDLine("another") + fakes.NotExecutedLine, false},
		{"that names no request, as one that rejects before it has read one", "", true},
		{"of two requests", fakes.IDLine("mine") + fakes.IDLine("another"), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			load := &reach.Load{}
			exchangeWith(t, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"+statement+test.headers+"\r\n", &reach.Candidate{ID: "e-1", Load: load})
			assert.Assert(t, load.Leaving(time.Time{}))
			assert.Equal(t, load.BackedOff(time.Now()), test.applies, "Retry-After")
			assert.Equal(t, load.RecordLimit(true, 2, time.Now()), !test.applies, "the limit is news")
		})
	}
}
