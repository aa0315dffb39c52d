package conf

import (
	"encoding/hex"
	"fmt"
	"net"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"hickorybend/core/jsonc"
	"hickorybend/core/lease"
	"hickorybend/core/place"
	"hickorybend/core/quota"
	"hickorybend/core/route"
	"hickorybend/core/watch"
	"hickorybend/io/front"
)

// Settings are all that a node is told at its start.
type Settings struct {
	Node           string       `json:"node"`
	Zone           string       `json:"zone"`
	CallersAddress string       `json:"callers-address"`
	ControlAddress string       `json:"control-address"`
	Platform       Platform     `json:"platform"`
	Operators      []Operator   `json:"operators"`
	PeerKey        string       `json:"peer-key"`
	TLS            *TLS         `json:"tls"`
	Limits         front.Limits `json:"limits"`
	Watch          watch.Policy `json:"watch"`
	Lease          lease.Policy `json:"lease"`
	Route          route.Policy `json:"route"`
	Place          place.Policy `json:"place"`
	Quota          quota.Policy `json:"quota"`
	Config         ConfigTimes  `json:"config"`
	Drain          Drain        `json:"drain"`
}

// Platform says where the platform's services are.
type Platform struct {
	TableEndpoint  string `json:"table-endpoint"`
	Table          string `json:"table"`
	ObjectEndpoint string `json:"object-endpoint"`
	Bucket         string `json:"bucket"`
	HostsEndpoint  string `json:"hosts-endpoint"`
	Region         string `json:"region"`
	KeyID          string `json:"key-id"`
	Secret         string `json:"secret"`
}

// Operator is a person or script that may change the deployment.
type Operator struct {
	Name      string `json:"name"`
	KeySHA256 string `json:"key-sha256"`
}

// TLS names the files of this node's certificate and of the authority that
// signs all nodes' certificates.
type TLS struct {
	CertFile string `json:"cert-file"`
	KeyFile  string `json:"key-file"`
	CAFile   string `json:"ca-file"`
}

// ConfigTimes holds the times of taking configuration into force.
type ConfigTimes struct {
	PollEvery   time.Duration `json:"poll-every"`
	PrepareTime time.Duration `json:"prepare-time"`
	DoubtTime   time.Duration `json:"doubt-time"`
	ConfirmTerm time.Duration `json:"confirm-term"`
	NodeTerm    time.Duration `json:"node-term"`
}

// Drain says how a node leaves.
type Drain struct {
	Notice time.Duration `json:"notice"`
	Limit  time.Duration `json:"limit"`
}

// ErrFile says that the settings file could not be read.
var ErrFile = errors.New("conf: the settings file cannot be read")

// Defaults gives the settings that a file need not name.
func Defaults() Settings {
	return Settings{
		Limits: front.DefaultLimits(), Watch: watch.DefaultPolicy(), Lease: lease.DefaultPolicy(),
		Route: route.DefaultPolicy(), Place: place.DefaultPolicy(), Quota: quota.DefaultPolicy(),
		Platform: Platform{Table: "hickorybend", Bucket: "hickorybend", Region: "local"},
		Config: ConfigTimes{
			PollEvery: time.Second, PrepareTime: time.Second, DoubtTime: 2 * time.Second,
			ConfirmTerm: 8 * time.Second, NodeTerm: 12 * time.Second,
		},
		Drain: Drain{Notice: 3 * time.Second, Limit: 60 * time.Second},
	}
}

// Read loads and checks a settings file.
func Read(file string) (Settings, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Mark(errors.Wrap(err, "conf: reading"), ErrFile)
	}
	return Parse(file, src)
}

// Parse checks the text of a settings file; the error is a jsonc.Faults.
func Parse(file string, src []byte) (Settings, error) {
	settings := Defaults()
	doc := jsonc.Decode(file, src, &settings)
	if doc.Err() == nil {
		check(settings, doc)
	}
	return settings, doc.Err()
}

const keyHashBytes = 32

func check(settings Settings, doc *jsonc.Doc) {
	required(doc, "node", settings.Node)
	required(doc, "zone", settings.Zone)
	address(doc, "callers-address", settings.CallersAddress)
	address(doc, "control-address", settings.ControlAddress)
	endpoint(doc, "platform.table-endpoint", settings.Platform.TableEndpoint)
	endpoint(doc, "platform.object-endpoint", settings.Platform.ObjectEndpoint)
	endpoint(doc, "platform.hosts-endpoint", settings.Platform.HostsEndpoint)
	required(doc, "platform.table", settings.Platform.Table)
	required(doc, "platform.bucket", settings.Platform.Bucket)
	required(doc, "peer-key", settings.PeerKey)
	for i, operator := range settings.Operators {
		hash, err := hex.DecodeString(operator.KeySHA256)
		if err != nil || len(hash) != keyHashBytes {
			doc.AddFault(fmt.Sprintf("operators[%d].key-sha256", i), "64 hexadecimal digits", strconv.Quote(operator.KeySHA256))
		}
	}
	if tls := settings.TLS; tls != nil {
		required(doc, "tls.cert-file", tls.CertFile)
		required(doc, "tls.key-file", tls.KeyFile)
		required(doc, "tls.ca-file", tls.CAFile)
	}
	checkTimes(settings, doc)
	checkNumbers(settings, doc)
}

// timed is a duration of the settings with the one it has to exceed.
type timed struct {
	path  string
	value time.Duration
	above time.Duration
	than  string
}

func checkTimes(settings Settings, doc *jsonc.Doc) {
	for _, timed := range []timed{
		{"watch.probe-every", settings.Watch.ProbeInterval, 0, "0s"},
		{"watch.probe-limit", settings.Watch.ProbeTimeout, 0, "0s"},
		{"watch.evidence-term", settings.Watch.StatusTTL, settings.Watch.ProbeInterval + settings.Watch.ProbeTimeout, "probe-every and probe-limit together"},
		{"lease.renew-every", settings.Lease.RenewEvery, 0, "0s"},
		{"lease.term", settings.Lease.TTL, 2 * settings.Lease.RenewEvery, "twice renew-every"},
		{"config.poll-every", settings.Config.PollEvery, 0, "0s"},
		{"config.prepare-time", settings.Config.PrepareTime, 0, "0s"},
		{"config.confirm-term", settings.Config.ConfirmTerm, settings.Config.PollEvery, "poll-every"},
		{"config.node-term", settings.Config.NodeTerm, settings.Config.ConfirmTerm, "confirm-term"},
		{"drain.limit", settings.Drain.Limit, settings.Drain.Notice, "notice"},
		{"limits.stall-limit", settings.Limits.StallLimit, 0, "0s"},
		{"limits.first-token-limit", settings.Limits.FirstTokenLimit, 0, "0s"},
		{"limits.call-limit", settings.Limits.CallLimit, 0, "0s"},
		{"limits.claim-limit", settings.Limits.ClaimLimit, 0, "0s"},
		{"limits.record-limit", settings.Limits.RecordLimit, 0, "0s"},
		{"limits.record-pause", settings.Limits.RecordBackoff, 0, "0s"},
		{"limits.read-limit", settings.Limits.ReadLimit, 0, "0s"},
		{"limits.write-limit", settings.Limits.WriteLimit, 0, "0s"},
	} {
		if timed.value <= timed.above {
			doc.AddFault(timed.path, "a duration above "+timed.than, timed.value.String())
		}
	}
}

func checkNumbers(settings Settings, doc *jsonc.Doc) {
	if settings.Limits.BodyBytes < 1 {
		doc.AddFault("limits.body-bytes", "a whole number above 0", strconv.FormatInt(settings.Limits.BodyBytes, 10))
	}
	if settings.Limits.MaxAttempts < 1 {
		doc.AddFault("limits.max-attempts", "a whole number above 0", strconv.Itoa(settings.Limits.MaxAttempts))
	}
	if settings.Place.TargetLoad <= 0 || settings.Place.TargetLoad > 1 {
		doc.AddFault("place.target-load", "a number above 0 and up to 1", fmt.Sprint(settings.Place.TargetLoad))
	}
}

func required(doc *jsonc.Doc, path, value string) {
	if value == "" {
		doc.AddFault(path, "a value", "nothing")
	}
}

func address(doc *jsonc.Doc, path, value string) {
	host, port, err := net.SplitHostPort(value)
	number, portErr := strconv.Atoi(port)
	if err != nil || net.ParseIP(host) == nil || portErr != nil || number < 1 || number > 65535 {
		doc.AddFault(path, `an IP number with a port such as "127.0.0.1:8080"`, strconv.Quote(value))
	}
}

func endpoint(doc *jsonc.Doc, path, value string) {
	parsed, err := url.Parse(value)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
		doc.AddFault(path, `an address such as "http://127.0.0.1:8000"`, strconv.Quote(value))
	}
}
