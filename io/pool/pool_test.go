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

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"hickorybend/io/pool"
)

// pause parts what an endpoint sends at once from what it sends a little later.
const pause = "\x00"

// endpoint answers each request on a channel with the next of its answers,
// byte for byte; an empty one closes the channel.
func endpoint(t *testing.T, answers ...string) (string, *[]string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var heads []string
	next := 0
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for next < len(answers) {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					heads = append(heads, request.RequestURI)
					answer := answers[next]
					next++
					if answer == "" {
						return
					}
					for i, part := range strings.Split(answer, pause) {
						time.Sleep(time.Duration(i) * 10 * time.Millisecond)
						_, _ = io.WriteString(conn, part)
					}
				}
				<-time.After(5 * time.Second)
			}()
		}
	}()
	return listener.Addr().String(), &heads
}

func sound(body, more string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nKeep-Alive: timeout=9\r\n%s\r\n%s", len(body), more, body)
}

func get(t *testing.T, channels *pool.Pool, address string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	exchange, err := channels.Send(ctx, address, pool.Request{Method: "GET", Target: "/a%2Fb?x=%20", Host: "h", Header: http.Header{}})
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(exchange.Response.Body)
	if err != nil {
		exchange.Close()
		return string(body), err
	}
	exchange.Release()
	return string(body), nil
}

// TestChannels has endpoints end their answers in each way: what may be kept
// is used again, and nothing else.
func TestChannels(t *testing.T) {
	for _, test := range []struct {
		name    string
		answers []string
		dials   int64
	}{
		{"kept", []string{sound("one", ""), sound("two", "")}, 1},
		{"closed by the answer", []string{sound("one", "Connection: close\r\n"), sound("two", "")}, 2},
		{"bytes beyond the answer", []string{sound("one", "") + "HTTP/1.1 200 OK\r\n", sound("two", "")}, 2},
		{"bytes some time after the answer", []string{sound("one", "") + pause + "HTTP/1.1 200 OK\r\n", sound("two", "")}, 2},
		{"no time-out stated in seconds", []string{strings.Replace(sound("one", ""), "timeout=9", "timeout=0", 1), sound("two", "")}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			address, heads := endpoint(t, test.answers...)
			channels := pool.New()
			for _, want := range []string{"one", "two"} {
				got, err := get(t, channels, address)
				assert.NilError(t, err)
				assert.Equal(t, got, want)
				time.Sleep(40 * time.Millisecond) // bytes beyond the answer arrive
			}
			assert.Equal(t, channels.Dials(), test.dials)
			assert.DeepEqual(t, *heads, []string{"/a%2Fb?x=%20", "/a%2Fb?x=%20"})
		})
	}
}

// TestErrorsTellWhatLeft has failures before and after the first byte.
func TestErrorsTellWhatLeft(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	nobody := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = get(t, pool.New(), nobody)
	assert.Assert(t, errors.Is(err, pool.ErrUnsent))
	address, _ := endpoint(t, "")
	_, err = get(t, pool.New(), address)
	assert.Assert(t, errors.Is(err, pool.ErrIncompleteResponse))
	half, _ := endpoint(t, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
	_, err = get(t, pool.New(), half)
	assert.Assert(t, err != nil)
}

// TestContextEndsAnExchange has the caller leave while the endpoint is silent.
func TestContextEndsAnExchange(t *testing.T) {
	address, _ := endpoint(t, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
	ctx, cancel := context.WithCancel(context.Background())
	exchange, err := pool.New().Send(ctx, address, pool.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
	assert.NilError(t, err)
	began := time.Now()
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err = io.ReadAll(exchange.Response.Body)
	assert.Assert(t, err != nil && time.Since(began) < time.Second)
	exchange.Close()
}

// TestTargetsThatAreNoPath are refused before anything is sent.
func TestTargetsThatAreNoPath(t *testing.T) {
	address, heads := endpoint(t, sound("x", ""))
	for _, target := range []string{"", "*", "//other.example/x", "http://other.example/"} {
		_, err := pool.New().Send(context.Background(), address, pool.Request{Method: "GET", Target: target, Host: "h", Header: http.Header{}})
		assert.Assert(t, err != nil, target)
	}
	assert.Equal(t, len(*heads), 0)
}
