package event

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is a kind of log line. Its number never changes its meaning.
type Event struct {
	Number int
	Text   string
	Level  zapcore.Level
}

// The events, by subject: 1xx the node, 2xx the platform, 3xx leases, 4xx
// replicas and endpoints, 5xx configuration, 6xx requests.
var (
	NodeStarted           = Event{101, "node started", zap.InfoLevel}
	NodeDraining          = Event{102, "node draining", zap.InfoLevel}
	NodeStopped           = Event{103, "node stopped", zap.InfoLevel}
	NodeFailed            = Event{104, "node failed", zap.ErrorLevel}
	LogLinesDropped       = Event{105, "log lines dropped", zap.WarnLevel}
	SettingsReread        = Event{106, "settings file re-read", zap.InfoLevel}
	ReadinessChanged      = Event{107, "readiness changed", zap.InfoLevel}
	DrainTimedOut         = Event{108, "requests cut at the end of the drain", zap.WarnLevel}
	HostSuspended         = Event{109, "host was suspended", zap.WarnLevel}
	StoreDown             = Event{201, "table service does not answer", zap.WarnLevel}
	StoreBack             = Event{202, "table service answers again", zap.InfoLevel}
	HostListDown          = Event{203, "host list does not answer", zap.WarnLevel}
	HostListBack          = Event{204, "host list answers again", zap.InfoLevel}
	OutcomeUnknown        = Event{205, "outcome of a transaction is not known", zap.WarnLevel}
	RowUnreadable         = Event{206, "stored row cannot be decoded", zap.ErrorLevel}
	PeerUnresponsive      = Event{207, "another node does not answer", zap.WarnLevel}
	CopyStale             = Event{208, "copy of a table is out of date", zap.WarnLevel}
	CopyFresh             = Event{209, "copy of a table is up to date again", zap.InfoLevel}
	StoreWentBack         = Event{210, "table service came back from an older copy", zap.WarnLevel}
	NodeRowLost           = Event{211, "row of this node is lost or removed, and written again", zap.WarnLevel}
	MemberChanged         = Event{212, "state of another node changed", zap.WarnLevel}
	NodeRowRemoved        = Event{213, "row of a node that is gone removed", zap.InfoLevel}
	NodeRowWithdrawn      = Event{214, "row of this stopping node withdrawn", zap.InfoLevel}
	NodeRowOdd            = Event{215, "row of a node is no member's", zap.WarnLevel}
	ZoneEvacuated         = Event{216, "zone evacuated", zap.WarnLevel}
	ZoneTakenBack         = Event{217, "zone no longer evacuated", zap.WarnLevel}
	ZoneUnknown           = Event{218, "evacuated zone has no endpoint and no node", zap.WarnLevel}
	LeaseAcquired         = Event{301, "lease acquired", zap.InfoLevel}
	LeaseLost             = Event{302, "lease lost", zap.WarnLevel}
	LeaseReleased         = Event{303, "lease released", zap.InfoLevel}
	ReplicaChanged        = Event{401, "replica changed", zap.InfoLevel}
	ReplicaChangeRejected = Event{402, "replica change rejected by the store", zap.InfoLevel}
	CommandFailed         = Event{403, "command to an endpoint failed", zap.WarnLevel}
	MemberLost            = Event{404, "member of a replica lost", zap.WarnLevel}
	ReplicaEjected        = Event{405, "straggling replica ejected", zap.WarnLevel}
	ReplicaReturned       = Event{406, "ejected replica returned", zap.InfoLevel}
	HostHandedBack        = Event{407, "host handed back", zap.InfoLevel}
	ActionRejected        = Event{408, "placement action breaks a rule", zap.ErrorLevel}
	EndpointChanged       = Event{409, "endpoint changed", zap.InfoLevel}
	EndpointGone          = Event{410, "endpoint gone from the list", zap.InfoLevel}
	EndpointUnresponsive  = Event{411, "endpoint unresponsive", zap.WarnLevel}
	CommandAnswered       = Event{412, "command answered", zap.InfoLevel}
	ReplicasServing       = Event{413, "number of serving replicas changed", zap.InfoLevel}
	PlacementStats        = Event{414, "placement statistics", zap.InfoLevel}
	EndpointCrashed       = Event{415, "endpoint crashed with requests in progress", zap.WarnLevel}
	InputBlocked          = Event{416, "requests that crash endpoints are rejected", zap.ErrorLevel}
	InputAllowed          = Event{417, "requests that were rejected are allowed again", zap.WarnLevel}
	InputTrial            = Event{418, "trial of rejected requests ended", zap.WarnLevel}
	EndpointLimited       = Event{419, "endpoint limits the requests that it takes", zap.WarnLevel}
	EndpointUnlimited     = Event{420, "endpoint takes any number of requests again", zap.InfoLevel}
	BlockLifted           = Event{421, "operator lifted a block", zap.WarnLevel}
	PlacementProblem      = Event{422, "part of a deployment cannot be placed as configured", zap.WarnLevel}
	CutOffChanged         = Event{423, "whether this node is cut off from the endpoints changed", zap.WarnLevel}
	ConnectionsReset      = Event{430, "endpoint reset new connections", zap.WarnLevel}
	ConnectionsUnusable   = Event{431, "unusable max_connections of a service", zap.WarnLevel}
	EndpointCold          = Event{432, "endpoint is cold and takes fewer requests", zap.InfoLevel}
	EndpointWarm          = Event{433, "endpoint is no longer cold", zap.InfoLevel}
	ColdUnusable          = Event{434, "unusable time for which an endpoint is cold", zap.WarnLevel}
	AssignerChanged       = Event{440, "node that assigns this node's requests changed", zap.InfoLevel}
	ConfigAccepted        = Event{501, "configuration accepted", zap.InfoLevel}
	ConfigInForce         = Event{502, "configuration in force on this node", zap.InfoLevel}
	ConfigConflict        = Event{503, "configuration change conflicts", zap.InfoLevel}
	ConfigUnreadable      = Event{504, "stored configuration cannot be decoded", zap.ErrorLevel}
	ConfigUnconfirmed     = Event{505, "configuration not confirmed, so the node takes no new requests", zap.WarnLevel}
	ConfigConfirmed       = Event{506, "configuration confirmed again", zap.InfoLevel}
	PeerNotNotified       = Event{507, "node did not acknowledge the notice of a configuration change", zap.WarnLevel}
	RegionUnknown         = Event{508, "unknown home region of a route or team", zap.ErrorLevel}
	StreamResumed         = Event{601, "stream resumed on another replica", zap.InfoLevel}
	AnswerIncomplete      = Event{602, "answer could not be completed", zap.WarnLevel}
	ChunkMismatched       = Event{603, "chunk of another request dropped", zap.WarnLevel}
	CallInDoubt           = Event{604, "outcome of a call is not known", zap.WarnLevel}
	RecordLate            = Event{605, "outcome of a call not yet recorded", zap.WarnLevel}
	RequestEnded          = Event{606, "request ended", zap.InfoLevel}
	RetryAfterUnusable    = Event{607, "unusable Retry-After of an endpoint", zap.WarnLevel}
	AttemptBroken         = Event{608, "endpoint broke off an attempt", zap.WarnLevel}
	LimitUnusable         = Event{609, "unusable Server-Limit of an endpoint", zap.WarnLevel}
	AttemptSilent         = Event{610, "attempt ended because its endpoint is silent", zap.InfoLevel}
	AttemptHandover       = Event{611, "request sent to another endpoint beside a silent one", zap.InfoLevel}
	RequestGivenUp        = Event{612, "request given up before its endpoint had received all of it", zap.InfoLevel}
	BytesRefused          = Event{613, "answers or bodies ended, as this node holds too many bytes for others", zap.WarnLevel}
	AttemptNotRun         = Event{614, "endpoint or other node states that it has not run a request", zap.InfoLevel}
	NotRunContradicted    = Event{615, "answer states that a request has not run and contradicts that", zap.WarnLevel}
	AnswerCopySkipped     = Event{616, "copy of the answer to an earlier request skipped", zap.WarnLevel}
	ClientsClosed         = Event{617, "clients' connections closed or refused, as they cost too much", zap.WarnLevel}
	EndpointUnreached     = Event{620, "no connection to an endpoint could be opened", zap.WarnLevel}
	NoEndpointTakes       = Event{621, "request rejected, as no endpoint takes it", zap.InfoLevel}
)

// All returns every event in the order of the numbers.
func All() []Event {
	return []Event{
		NodeStarted, NodeDraining, NodeStopped, NodeFailed, LogLinesDropped, SettingsReread, ReadinessChanged, DrainTimedOut, HostSuspended,
		StoreDown, StoreBack, HostListDown, HostListBack, OutcomeUnknown, RowUnreadable, PeerUnresponsive, CopyStale, CopyFresh, StoreWentBack, NodeRowLost, MemberChanged, NodeRowRemoved, NodeRowWithdrawn, NodeRowOdd, ZoneEvacuated, ZoneTakenBack, ZoneUnknown,
		LeaseAcquired, LeaseLost, LeaseReleased,
		ReplicaChanged, ReplicaChangeRejected, CommandFailed, MemberLost, ReplicaEjected,
		ReplicaReturned, HostHandedBack, ActionRejected,
		EndpointChanged, EndpointGone, EndpointUnresponsive, CommandAnswered, ReplicasServing, PlacementStats, EndpointCrashed, InputBlocked, InputAllowed, InputTrial, EndpointLimited, EndpointUnlimited, BlockLifted, PlacementProblem, CutOffChanged, ConnectionsReset, ConnectionsUnusable, EndpointCold, EndpointWarm, ColdUnusable, AssignerChanged,
		ConfigAccepted, ConfigInForce, ConfigConflict, ConfigUnreadable, ConfigUnconfirmed, ConfigConfirmed, PeerNotNotified, RegionUnknown,
		StreamResumed, AnswerIncomplete, ChunkMismatched, CallInDoubt, RecordLate, RequestEnded, RetryAfterUnusable, AttemptBroken, LimitUnusable, AttemptSilent, AttemptHandover, RequestGivenUp, BytesRefused, AttemptNotRun, NotRunContradicted, AnswerCopySkipped, ClientsClosed, EndpointUnreached, NoEndpointTakes,
	}
}

// Log logs an event at its level, with its number in the field "event".
func Log(log *zap.Logger, event Event, fields ...zap.Field) {
	log.Log(event.Level, event.Text, append(fields, zap.Int("event", event.Number))...)
}
