package hosts

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

// Host is one endpoint's host as the platform lists it.
type Host struct {
	Name    string
	Address string
	Zone    string
	Domain  string
	Service string
	Leaving bool
}

// Client reads the list at an address.
type Client struct {
	base string
	http *http.Client
}

// ErrOutage says that the list could not be read.
var ErrOutage = errors.New("hosts: the host list does not answer")

const (
	callLimit    = 3 * time.Second
	maxListBytes = 64 << 20
	stateLeaving = "leaving"
)

type group struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// New makes a client of the list below a base address.
func New(base string, client *http.Client) *Client {
	return &Client{base: base, http: client}
}

// List reads every host; an entry without a name or an address is left out.
func (client *Client) List(ctx context.Context) ([]Host, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	body, err := client.call(ctx, http.MethodGet, client.base+"/hosts")
	if err != nil {
		return nil, err
	}
	var groups []group
	if err := json.Unmarshal(body, &groups); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "hosts: decoding the list"), ErrOutage)
	}
	return decode(groups), nil
}

// HandBack gives a host back to the platform; it may be repeated.
func (client *Client) HandBack(ctx context.Context, host string) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	_, err := client.call(ctx, http.MethodDelete, client.base+"/hosts/"+url.PathEscape(host))
	return err
}

func (client *Client) call(ctx context.Context, method, address string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, address, nil)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "hosts: making a request"), ErrOutage)
	}
	answer, err := client.http.Do(request)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "hosts: calling"), ErrOutage)
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxListBytes))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "hosts: reading"), ErrOutage)
	}
	if answer.StatusCode >= http.StatusMultipleChoices {
		return nil, errors.Wrapf(ErrOutage, "status %d", answer.StatusCode)
	}
	return body, nil
}

func decode(groups []group) []Host {
	var hosts []Host
	for _, group := range groups {
		for _, target := range group.Targets {
			host := Host{
				Name: group.Labels["host"], Address: target,
				Zone: group.Labels["zone"], Domain: group.Labels["domain"],
				Service: group.Labels["service"], Leaving: group.Labels["state"] == stateLeaving,
			}
			if host.Name != "" && host.Address != "" {
				hosts = append(hosts, host)
			}
		}
	}
	return hosts
}
