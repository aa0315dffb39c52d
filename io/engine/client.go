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
	streams *http.Client
	calls   *http.Client
	control *http.Client
}

const (
	dialLimit     = 700 * time.Millisecond
	idleStreams   = 512
	idleControl   = 4
	idleTime      = 60 * time.Second
	maxStatusSize = 64 << 10
)

// New makes a client.
//
// Calls of plain services use a connection each: on a connection that was used
// before, net/http sends a request with an Idempotency-Key a second time by
// itself when the endpoint closes without an answer, and the first may have run.
func New() *Client {
	dialer := &net.Dialer{Timeout: dialLimit}
	streams := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleStreams, IdleConnTimeout: idleTime, DisableCompression: true}
	calls := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}
	control := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleControl, IdleConnTimeout: idleTime, DisableCompression: true}
	return &Client{
		streams: &http.Client{Transport: streams, CheckRedirect: keepRedirect},
		calls:   &http.Client{Transport: calls, CheckRedirect: keepRedirect},
		control: &http.Client{Transport: control, CheckRedirect: keepRedirect},
	}
}

// keepRedirect hands a redirect to the caller in place of following it.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

type statusAnswer struct {
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
		return watch.Status{}, errors.Mark(errors.Wrap(err, "engine: making a probe"), ErrUnreached)
	}
	answer, err := client.control.Do(request)
	if err != nil {
		return watch.Status{}, errors.Mark(errors.Wrap(err, "engine: probing"), ErrUnreached)
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxStatusSize))
	if err != nil || answer.StatusCode != http.StatusOK {
		return watch.Status{}, errors.Wrapf(ErrIncompleteResponse, "probe of %s, status %d", address, answer.StatusCode)
	}
	var status statusAnswer
	if err := json.Unmarshal(body, &status); err != nil {
		return watch.Status{}, errors.Mark(errors.Wrap(err, "engine: decoding a status"), ErrIncompleteResponse)
	}
	return watch.Status(status), nil
}

// Command tells an endpoint its place in a replica; an empty Replica releases it.
type Command struct {
	FencingNumber int64
	Epoch         int64
	Replica       string
	Rank          int
	Members       []string
	Model         string
	Version       string
	LeaseExpiry   time.Time
}

type orderCall struct {
	FencingNumber int64    `json:"fence"`
	Epoch         int64    `json:"epoch"`
	Replica       string   `json:"replica"`
	Rank          int      `json:"rank"`
	Members       []string `json:"members"`
	Model         string   `json:"model"`
	Version       string   `json:"version"`
}

// SendCommand sends an order, unless the lease behind it ends first; the lease is
// looked at again at the last moment, since this process may have been paused.
func (client *Client) SendCommand(ctx context.Context, address string, command Command) error {
	body, err := json.Marshal(orderCall{
		FencingNumber: command.FencingNumber, Epoch: command.Epoch, Replica: command.Replica, Rank: command.Rank,
		Members: command.Members, Model: command.Model, Version: command.Version,
	})
	if err != nil {
		return errors.Wrap(err, "engine: encoding an order")
	}
	ctx, cancel := context.WithDeadline(ctx, command.LeaseExpiry)
	defer cancel()
	if !time.Now().Before(command.LeaseExpiry) {
		return ErrLeaseExpired
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/order", bytes.NewReader(body))
	if err != nil {
		return errors.Mark(errors.Wrap(err, "engine: making an order"), ErrUnreached)
	}
	answer, err := client.control.Do(request)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "engine: ordering"), ErrIncompleteResponse)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrRefused, "order to %s, status %d", address, answer.StatusCode)
	}
	return nil
}
