package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"hickorybend/core/watch"
)

// Client calls endpoints.
type Client struct {
	requests *http.Client // streams, calls and commands
	probes   *http.Client
}

const (
	dialTimeout       = 700 * time.Millisecond
	maxIdleProbeConns = 4
	idleTimeout       = 60 * time.Second
	maxStatusBytes    = 64 << 10
)

// New returns a client.
//
// Each request but a probe uses a new connection. A reused one may bring a copy of the answer to
// an earlier request, and a rejection or a reply to a command names no request. Also, on a reused
// one, net/http by itself sends a request with an Idempotency-Key a second time when the endpoint
// closes the connection without a response, although the first may have run.
func New() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	requests := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes}
	probes := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleProbeConns, IdleConnTimeout: idleTimeout, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes}
	return &Client{
		requests: &http.Client{Transport: checkedTransport{requests}, CheckRedirect: returnRedirect},
		probes:   &http.Client{Transport: checkedTransport{probes}, CheckRedirect: returnRedirect},
	}
}

// returnRedirect makes a client return a redirect response instead of following it.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

type statusResponse struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	Replica     string `json:"replica"`
	Epoch       int64  `json:"epoch"`
	Rank        int    `json:"rank"`
	Model       string `json:"model"`
	Version     string `json:"version"`
	Ready       bool   `json:"ready"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
}

// Probe asks an endpoint for its status.
func (client *Client) Probe(ctx context.Context, address string) (watch.Status, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return watch.Status{}, errors.Mark(errors.Wrap(err, "engine: building a probe"), ErrUnreached)
	}
	response, err := client.probes.Do(request)
	if errors.Is(err, ErrIncompleteResponse) {
		return watch.Status{}, errors.Wrap(err, "engine: probing")
	}
	if err != nil {
		return watch.Status{}, errors.Mark(errors.Wrap(err, "engine: probing"), ErrUnreached)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxStatusBytes))
	if err != nil || response.StatusCode != http.StatusOK {
		return watch.Status{}, errors.Wrapf(ErrIncompleteResponse, "probe of %s, status %d", address, response.StatusCode)
	}
	var status statusResponse
	if err := json.Unmarshal(body, &status); err != nil {
		return watch.Status{}, errors.Mark(errors.Wrap(err, "engine: decoding a status"), ErrIncompleteResponse)
	}
	return watch.Status(status), nil
}

// Command places an endpoint in a replica; an empty Replica releases the endpoint. An
// endpoint that checks fencing rejects a command whose fencing number is lower than
// that of the last command it accepted. The command must be sent and answered by
// Deadline, which is not after the deadline of the lease that it relies on.
type Command struct {
	FencingNumber int64
	Epoch         int64
	Replica       string
	Rank          int
	Members       []string
	Model         string
	Version       string
	Deadline      time.Time
}

type commandRequest struct {
	FencingNumber int64    `json:"fence"`
	Epoch         int64    `json:"epoch"`
	Replica       string   `json:"replica"`
	Rank          int      `json:"rank"`
	Members       []string `json:"members"`
	Model         string   `json:"model"`
	Version       string   `json:"version"`
}

// SendCommand sends a command unless its deadline passes first. It checks the deadline
// right before sending, since this process may have been paused and its lease may have
// expired.
func (client *Client) SendCommand(ctx context.Context, address string, command Command) error {
	body, err := json.Marshal(commandRequest{
		FencingNumber: command.FencingNumber, Epoch: command.Epoch, Replica: command.Replica, Rank: command.Rank,
		Members: command.Members, Model: command.Model, Version: command.Version,
	})
	if err != nil {
		return errors.Wrap(err, "engine: encoding a command")
	}
	ctx, cancel := context.WithDeadline(ctx, command.Deadline)
	defer cancel()
	if !time.Now().Before(command.Deadline) {
		return ErrCommandExpired
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/order", bytes.NewReader(body))
	if err != nil {
		return errors.Mark(errors.Wrap(err, "engine: building a command"), ErrUnreached)
	}
	response, err := client.requests.Do(request)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "engine: sending a command"), ErrIncompleteResponse)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrRejected, "command to %s, status %d", address, response.StatusCode)
	}
	return nil
}
