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

// Settings is the content of a node's settings file.
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

// Platform gives the addresses and credentials of the platform's services.
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

// Operator is a person or script that may change the deployment, with the hash of
// its key.
type Operator struct {
	Name      string `json:"name"`
	KeySHA256 string `json:"key-sha256"`
}

// TLS names the files of this node's certificate, its private key, and the
// authority that signs the certificates of all nodes.
type TLS struct {
	CertFile string `json:"cert-file"`
	KeyFile  string `json:"key-file"`
	CAFile   string `json:"ca-file"`
}

// ConfigTimes holds the intervals and timeouts by which a node keeps its configuration
// and its row up to date. PollInterval is the interval of its reads of the store. A
// copy of the configuration may be used for ConfirmationTTL after it was last
// confirmed. A node whose row has not changed for HeartbeatTimeout counts as
// unresponsive.
type ConfigTimes struct {
	PollInterval     time.Duration `json:"poll-every"`
	ConfirmationTTL  time.Duration `json:"confirm-term"`
	HeartbeatTimeout time.Duration `json:"node-term"`
}

// Drain holds the times of a node's shutdown. The node reports that it is not ready
// for the time of Notice, so that load balancers stop sending to it; then it waits up
// to Timeout for its requests to finish.
type Drain struct {
	Notice  time.Duration `json:"notice"`
	Timeout time.Duration `json:"limit"`
}

// ErrReadFile means that the settings file cannot be read.
var ErrReadFile = errors.New("conf: the settings file cannot be read")

// Defaults returns the settings that apply where the file gives none.
func Defaults() Settings {
	return Settings{
		Limits: front.DefaultLimits(), Watch: watch.DefaultPolicy(), Lease: lease.DefaultPolicy(),
		Route: route.DefaultPolicy(), Place: place.DefaultPolicy(), Quota: quota.DefaultPolicy(),
		Platform: Platform{Table: "hickorybend", Bucket: "hickorybend", Region: "local"},
		Config: ConfigTimes{
			PollInterval: time.Second, ConfirmationTTL: 8 * time.Second, HeartbeatTimeout: 12 * time.Second,
		},
		Drain: Drain{Notice: 3 * time.Second, Timeout: 60 * time.Second},
	}
}

// Read reads and checks a settings file.
func Read(file string) (Settings, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Mark(errors.Wrap(err, "conf: reading settings"), ErrReadFile)
	}
	return Parse(file, src)
}

// Parse decodes and checks the text of a settings file; its error is a jsonc.Faults.
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
	checkPresent(doc, "node", settings.Node)
	checkPresent(doc, "zone", settings.Zone)
	checkAddress(doc, "callers-address", settings.CallersAddress)
	checkAddress(doc, "control-address", settings.ControlAddress)
	checkURL(doc, "platform.table-endpoint", settings.Platform.TableEndpoint)
	checkURL(doc, "platform.object-endpoint", settings.Platform.ObjectEndpoint)
	checkURL(doc, "platform.hosts-endpoint", settings.Platform.HostsEndpoint)
	checkPresent(doc, "platform.table", settings.Platform.Table)
	checkPresent(doc, "platform.bucket", settings.Platform.Bucket)
	checkPresent(doc, "peer-key", settings.PeerKey)
	for i, operator := range settings.Operators {
		hash, err := hex.DecodeString(operator.KeySHA256)
		if err != nil || len(hash) != keyHashBytes {
			doc.AddFault(fmt.Sprintf("operators[%d].key-sha256", i), "64 hexadecimal digits", strconv.Quote(operator.KeySHA256))
		}
	}
	if tls := settings.TLS; tls != nil {
		checkPresent(doc, "tls.cert-file", tls.CertFile)
		checkPresent(doc, "tls.key-file", tls.KeyFile)
		checkPresent(doc, "tls.ca-file", tls.CAFile)
	}
	checkDurations(settings, doc)
	checkNumbers(settings, doc)
}

// durationCheck is a duration in the settings with the bound that it has to exceed.
type durationCheck struct {
	path      string
	value     time.Duration
	bound     time.Duration
	boundText string
}

func checkDurations(settings Settings, doc *jsonc.Doc) {
	for _, durationcheck := range []durationCheck{
		{"watch.probe-every", settings.Watch.ProbeInterval, 0, "0s"},
		{"watch.probe-limit", settings.Watch.ProbeTimeout, 0, "0s"},
		{"watch.evidence-term", settings.Watch.StatusTTL, settings.Watch.ProbeInterval + settings.Watch.ProbeTimeout, "probe-every and probe-limit together"},
		{"lease.renew-every", settings.Lease.RenewEvery, 0, "0s"},
		{"lease.term", settings.Lease.TTL, 2 * settings.Lease.RenewEvery, "twice renew-every"},
		{"config.poll-every", settings.Config.PollInterval, 0, "0s"},
		{"config.confirm-term", settings.Config.ConfirmationTTL, settings.Config.PollInterval, "poll-every"},
		{"config.node-term", settings.Config.HeartbeatTimeout, settings.Config.ConfirmationTTL, "confirm-term"},
		{"drain.limit", settings.Drain.Timeout, settings.Drain.Notice, "notice"},
		{"limits.stall-limit", settings.Limits.StallTimeout, 0, "0s"},
		{"limits.first-token-limit", settings.Limits.FirstTokenTimeout, 0, "0s"},
		{"limits.call-limit", settings.Limits.CallTimeout, 0, "0s"},
		{"limits.claim-limit", settings.Limits.ClaimTimeout, 0, "0s"},
		{"limits.record-limit", settings.Limits.RecordTimeout, 0, "0s"},
		{"limits.record-pause", settings.Limits.RecordBackoff, 0, "0s"},
		{"limits.read-limit", settings.Limits.ReadTimeout, 0, "0s"},
		{"limits.write-limit", settings.Limits.WriteTimeout, 0, "0s"},
	} {
		if durationcheck.value <= durationcheck.bound {
			doc.AddFault(durationcheck.path, "a duration above "+durationcheck.boundText, durationcheck.value.String())
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
	if settings.Place.TargetUtilization <= 0 || settings.Place.TargetUtilization > 1 {
		doc.AddFault("place.target-load", "a number above 0 and up to 1", fmt.Sprint(settings.Place.TargetUtilization))
	}
}

func checkPresent(doc *jsonc.Doc, path, value string) {
	if value == "" {
		doc.AddFault(path, "a value", "nothing")
	}
}

func checkAddress(doc *jsonc.Doc, path, value string) {
	host, port, err := net.SplitHostPort(value)
	number, portErr := strconv.Atoi(port)
	if err != nil || net.ParseIP(host) == nil || portErr != nil || number < 1 || number > 65535 {
		doc.AddFault(path, `an IP address with a port such as "127.0.0.1:8080"`, strconv.Quote(value))
	}
}

func checkURL(doc *jsonc.Doc, path, value string) {
	parsed, err := url.Parse(value)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
		doc.AddFault(path, `a URL such as "http://127.0.0.1:8000"`, strconv.Quote(value))
	}
}
