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

// Host is the host of an endpoint as the platform lists it. Domain is its fabric
// domain; all hosts of a replica are in the same domain. Draining means that the
// platform is about to take the host away.
type Host struct {
	Name     string
	Address  string
	Zone     string
	Domain   string
	Service  string
	Draining bool
}

// Client calls the host list service.
type Client struct {
	base string
	http *http.Client
}

// ErrOutage means that the host list service did not serve a request.
var ErrOutage = errors.New("hosts: the host list does not answer")

const (
	callTimeout  = 3 * time.Second
	maxListBytes = 64 << 20
	stateLeaving = "leaving"
)

// targetGroup is one entry of the list: addresses with common labels.
type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// New returns a client for the service at a base URL.
func New(base string, client *http.Client) *Client {
	return &Client{base: base, http: client}
}

// List reads all hosts; entries without a name or an address are omitted.
func (client *Client) List(ctx context.Context) ([]Host, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := client.call(ctx, http.MethodGet, client.base+"/hosts")
	if err != nil {
		return nil, err
	}
	var targetgroups []targetGroup
	if err := json.Unmarshal(body, &targetgroups); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "hosts: decoding the list"), ErrOutage)
	}
	return decode(targetgroups), nil
}

// HandBack gives a host back to the platform; the call is idempotent.
func (client *Client) HandBack(ctx context.Context, host string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := client.call(ctx, http.MethodDelete, client.base+"/hosts/"+url.PathEscape(host))
	return err
}

func (client *Client) call(ctx context.Context, method, address string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, address, nil)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "hosts: building a request"), ErrOutage)
	}
	response, err := client.http.Do(request)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "hosts: calling"), ErrOutage)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "hosts: reading the response"), ErrOutage)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, errors.Wrapf(ErrOutage, "status %d", response.StatusCode)
	}
	return body, nil
}

func decode(targetgroups []targetGroup) []Host {
	var hosts []Host
	for _, targetgroup := range targetgroups {
		for _, target := range targetgroup.Targets {
			host := Host{
				Name: targetgroup.Labels["host"], Address: target,
				Zone: targetgroup.Labels["zone"], Domain: targetgroup.Labels["domain"],
				Service: targetgroup.Labels["service"], Draining: targetgroup.Labels["state"] == stateLeaving,
			}
			if host.Name != "" && host.Address != "" {
				hosts = append(hosts, host)
			}
		}
	}
	return hosts
}
