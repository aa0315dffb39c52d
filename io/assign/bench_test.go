package assign_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"hickorybend/core/queue"
	"hickorybend/io/assign"
)

// BenchmarkPlace measures a question with the reports that go with it, both ends together.
func BenchmarkPlace(b *testing.B) {
	server := assign.NewServer(queue.DefaultPolicy())
	_, handler := assign.Handler(server, peerKey)
	listening := httptest.NewServer(handler)
	defer listening.Close()
	client := newNode("n1", zone{address: strings.TrimPrefix(listening.URL, "http://")})
	b.ReportAllocs()
	unanswered := 0
	for b.Loop() {
		server.Update(newView(), time.Now())
		send, sent := ask(client).(assign.Send)
		if !sent {
			unanswered++
			continue
		}
		client.End(client.Begin(send.Ticket, "s", "m", send.Endpoint, work, time.Now().Add(time.Second)))
	}
	b.ReportMetric(float64(unanswered), "unanswered")
}
