package edge

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"hickorybend/core/jsonc"
)

// Settings are the contents of a node's settings file.
type Settings struct {
	Node              string            `json:"node"`
	Zone              string            `json:"zone"`
	CallersAddress    string            `json:"callers-address"`
	ReadyAddress      string            `json:"ready-address"`
	PeersAddress      string            `json:"peers-address"`
	PeerKey           string            `json:"peer-key"`
	StoreAddress      string            `json:"store-address"`
	Seeds             []string          `json:"seeds"`        // addresses of some hosts that run nodes; their port is ignored
	FirstStart        bool              `json:"first-start"`  // all nodes start for the first time, and no replica has been placed before
	StartSpread       time.Duration     `json:"start-spread"` // at the first start, all nodes have written their rows this long after the first one began; 0 if they do not start together
	MemoryMB          int               `json:"memory-mb"`
	Processor         float64           `json:"processor"`          // capacity of the host's processor, as a multiple of one core; 0 if not known
	Grace             time.Duration     `json:"grace"`              // from SIGTERM until the platform kills the process
	DrainDelay        time.Duration     `json:"notice"`             // for the load balancer to see two failed readiness checks; part of the grace
	EndpointHeartbeat time.Duration     `json:"endpoint-heartbeat"` // interval at which endpoints renew their rows
	DrainBound        time.Duration     `json:"drain-bound"`        // after the store's acknowledgment that an endpoint leaves, no request may reach it
	ConfigBound       time.Duration     `json:"config-bound"`       // after the store's acknowledgment, a configuration must be in force
	EvacuationBound   time.Duration     `json:"evacuation-bound"`   // after the store's acknowledgment, no request may be sent to an evacuated zone; 0 for the config bound
	ColdOver          float64           `json:"cold-over"`          // factor on what a cold endpoint takes in a second
	ColdSlack         float64           `json:"cold-slack"`         // requests beside that which it takes in any second
	StallTimeout      time.Duration     `json:"stall"`              // how long a replica that lost a member stalls before it breaks
	Retry             Retry             `json:"retry"`
	Assignment        bool              `json:"assignment"`          // where nodes form no mesh, the leader of each zone assigns requests to replicas
	PlaceWithoutStore bool              `json:"place-without-store"` // continue placing while the store answers no node
	HeaderTimeout     time.Duration     `json:"header-time"`
	HeaderBytes       int               `json:"header-bytes"`
	Region            *string           `json:"region"` // of this node; nil if the platform has no regions
	Zones             map[string]string `json:"zones"`  // regions by zone
	HeaderFields      int               `json:"header-fields"`
	BodyTime          time.Duration     `json:"body-time"`              // from the beginning of a request to its end
	WriteTime         time.Duration     `json:"write-time"`             // for a client to take 16 KB of a response
	Connections       int               `json:"connections"`            // of callers; 0 for a number that memory-mb gives
	SourceConnections int               `json:"connections-per-source"` // of one caller's address; 0 for no limit, as all callers may come through one load balancer
	RejectLate        bool              `json:"reject-late"`            // a node rejects a request that no replica would begin to answer within its objective
}

// minBound is the shortest bound that nodes can keep: they exchange digests every
// 100 ms, and a read of the store may have to be sent twice.
const minBound = 1500 * time.Millisecond

// Retry is the retry budget that all nodes share.
type Retry struct {
	Ratio  float64       `json:"ratio"`  // retries allowed for each request
	Extra  float64       `json:"extra"`  // retries allowed besides, over all nodes together
	Window time.Duration `json:"window"` // over which requests and retries are counted
}

// ErrSettings means that the settings file cannot be read.
var ErrSettings = errors.New("edge: the settings file cannot be read")

// DefaultSettings returns the values of settings that the file leaves out.
func DefaultSettings() Settings {
	return Settings{
		MemoryMB: 256, Grace: 8 * time.Second, DrainDelay: 3200 * time.Millisecond,
		EndpointHeartbeat: 1200 * time.Millisecond, DrainBound: 2 * time.Second, ColdOver: 1, ConfigBound: 2 * time.Second, StallTimeout: 6 * time.Second,
		Retry: Retry{Ratio: 0.1, Extra: 20, Window: 10 * time.Second}, HeaderTimeout: 10 * time.Second, HeaderBytes: 64 << 10,
		HeaderFields: 4096, BodyTime: 12 * time.Second, WriteTime: 20 * time.Second,
	}
}

// ReadSettings reads and checks a settings file.
func ReadSettings(file string) (Settings, error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Mark(errors.Wrap(err, "edge: reading the settings file"), ErrSettings)
	}
	return ParseSettings(file, source)
}

// ParseSettings parses and checks the text of a settings file; the error is a
// jsonc.Faults.
func ParseSettings(file string, source []byte) (Settings, error) {
	settings := DefaultSettings()
	doc := jsonc.Decode(file, source, &settings)
	if doc.Err() != nil {
		return settings, doc.Err()
	}
	for _, field := range []struct{ name, value string }{
		{"node", settings.Node}, {"zone", settings.Zone}, {"callers-address", settings.CallersAddress},
		{"ready-address", settings.ReadyAddress}, {"peers-address", settings.PeersAddress},
		{"peer-key", settings.PeerKey}, {"store-address", settings.StoreAddress},
	} {
		if field.value == "" {
			doc.AddFault(field.name, "a value", "nothing")
		}
	}
	if settings.Grace < time.Second {
		doc.AddFault("grace", "at least 1s", settings.Grace.String())
	}
	if settings.DrainBound < minBound {
		doc.AddFault("drain-bound", "at least "+minBound.String(), settings.DrainBound.String())
	}
	if settings.ConfigBound < minBound {
		doc.AddFault("config-bound", "at least "+minBound.String(), settings.ConfigBound.String())
	}
	if settings.StartSpread < 0 {
		doc.AddFault("start-spread", "0s or more", settings.StartSpread.String())
	}
	if settings.EvacuationBound != 0 && settings.EvacuationBound < minBound {
		doc.AddFault("evacuation-bound", "at least "+minBound.String(), settings.EvacuationBound.String())
	}
	if settings.ColdOver < 0 || settings.ColdSlack < 0 {
		doc.AddFault("cold-over and cold-slack", "0 or more", "less")
	}
	if settings.MemoryMB < 32 {
		doc.AddFault("memory-mb", "at least 32", "less")
	}
	if settings.HeaderFields < 0 || settings.Connections < 0 || settings.SourceConnections < 0 {
		doc.AddFault("header-fields, connections and connections-per-source", "0 or more", "less")
	}
	if settings.Processor < 0 {
		doc.AddFault("processor", "0 or more", "less")
	}
	return settings, doc.Err()
}

// operatorBound returns the time within which a change of the operators' table must be in
// force, which has the configuration and the rows of evacuated zones.
func (settings Settings) operatorBound() time.Duration {
	if settings.EvacuationBound == 0 {
		return settings.ConfigBound
	}
	return min(settings.ConfigBound, settings.EvacuationBound)
}
