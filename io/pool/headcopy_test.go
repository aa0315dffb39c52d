package pool_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/io/pool"
)

// startCopyingEndpoint starts an endpoint that answers with the given bodies in turn, and writes a copy
// of the answer before on the same connection first. Answers repeat the header "Id" of requests.
func startCopyingEndpoint(t *testing.T, bodies ...string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	remaining := make(chan string, len(bodies))
	for _, body := range bodies {
		remaining <- body
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go writeWithCopies(conn, remaining)
		}
	}()
	return listener.Addr().String()
}

func writeWithCopies(conn net.Conn, bodies <-chan string) {
	reader := bufio.NewReader(conn)
	for before := ""; ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body := <-bodies
		answer := okResponse(body, "Id: "+request.Header.Get("Id")+"\r\n")
		if request.Method == http.MethodHead {
			answer = strings.TrimSuffix(answer, body)
		}
		_, _ = io.WriteString(conn, before+answer)
		before = answer
	}
}

// TestCopyReadWithMethodOfPresentRequest guards against an answer that is read from the middle of
// another one, because the copy before it answers a request with another method: an answer to HEAD
// states the length of a body that does not follow.
func TestCopyReadWithMethodOfPresentRequest(t *testing.T) {
	inner := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nId: 1\r\n\r\ninner"
	lengthOfHead := len(okResponse(inner, "Id: 1\r\n")) - len(inner)
	for _, test := range []struct {
		name    string
		methods [2]string
		bodies  [2]string
		dials   int64
	}{
		{"HEAD, then GET", [2]string{"HEAD", "GET"}, [2]string{"one", "two"}, 2},
		{"HEAD of a long body, then GET", [2]string{"HEAD", "GET"}, [2]string{strings.Repeat("a", 5_000), "two"}, 2},
		{"HEAD, then GET of a body that holds an answer", [2]string{"HEAD", "GET"}, [2]string{strings.Repeat("a", lengthOfHead), inner}, 2},
		{"GET, then HEAD", [2]string{"GET", "HEAD"}, [2]string{"one", "two"}, 2},
		{"GET, then GET", [2]string{"GET", "GET"}, [2]string{"one", "two"}, 1},
		{"HEAD, then HEAD", [2]string{"HEAD", "HEAD"}, [2]string{"one", "two"}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			address := startCopyingEndpoint(t, test.bodies[:]...)
			connections := pool.New(pool.WithAnswerIDs(func(header http.Header) []string { return header.Values("Id") }))
			for i, method := range test.methods {
				expectOwnAnswer(t, connections, address, method, fmt.Sprint(i), test.bodies[i])
			}
			assert.Equal(t, connections.Dials(), test.dials)
		})
	}
}

// expectOwnAnswer sends a request, and checks that it gets the answer with its ID and the given body
// before its deadline.
func expectOwnAnswer(t *testing.T, connections *pool.Pool, address, method, id, body string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	exchange, err := connections.Send(ctx, address, pool.Request{ID: id, Method: method, Target: "/", Host: "a", Header: http.Header{"Id": {id}}})
	assert.NilError(t, err)
	got, err := exchange.ReadBody(10_000)
	assert.NilError(t, err)
	exchange.Release()
	if method == http.MethodHead {
		body = ""
	}
	assert.Equal(t, exchange.Response.Header.Get("Id"), id)
	assert.Equal(t, string(got), body)
}
