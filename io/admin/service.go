package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"hickorybend/core/config"
	"hickorybend/core/intent"
	"hickorybend/core/jsonc"
	"hickorybend/core/rows"
	"hickorybend/io/blobs"
	"hickorybend/io/table"
	"hickorybend/io/wire"
)

const prefix = "/hickorybend.operators/"

const (
	procedureApply   = prefix + "apply"
	procedureShow    = prefix + "show"
	procedureHistory = prefix + "history"
	procedureStatus  = prefix + "status"
	procedureDrain   = prefix + "drain"
	procedureExplain = prefix + "explain"
)

// ObjectStore stores complete texts under the hash of their content.
type ObjectStore interface {
	Put(ctx context.Context, body []byte) (string, error)
	Get(ctx context.Context, name string) ([]byte, error)
}

// Node is the node that the service runs on. Broadcast sends changed rows to all nodes.
// Notify notifies all nodes of a change that is about to be committed, or of its abort,
// and returns the nodes with a recent heartbeat that did not acknowledge the notice.
type Node interface {
	Report() *Report
	Broadcast(ctx context.Context, changed []rows.Row) (acknowledged, unacknowledged []string)
	Notify(ctx context.Context, id string, version int64, abort bool) (unacknowledged []string)
	Explain(request string) Explanation
}

// Service serves the operators' API.
type Service struct {
	store   rows.Store
	objects ObjectStore
	node    Node
	log     *zap.Logger
}

// NewService returns a service that keeps the configuration in store and its texts in
// objectstore.
func NewService(store rows.Store, objectstore ObjectStore, node Node, log *zap.Logger) *Service {
	return &Service{store: store, objects: objectstore, node: node, log: log}
}

type applyCall struct {
	File string `cbor:"1,keyasint"`
	Text []byte `cbor:"2,keyasint"`
	Base int64  `cbor:"3,keyasint"`
}

type applyReply struct {
	Result ApplyResult `cbor:"1,keyasint"`
}

type showCall struct {
	Version int64 `cbor:"1,keyasint"`
}

type showReply struct {
	Snapshot ConfigSnapshot `cbor:"1,keyasint"`
}

type historyCall struct{}

type historyReply struct {
	Changes []Change `cbor:"1,keyasint"`
}

type statusCall struct{}

type statusReply struct {
	Report Report `cbor:"1,keyasint"`
}

type drainCall struct {
	Request DrainRequest `cbor:"1,keyasint"`
}

type drainReply struct{}

type explainCall struct {
	Request string `cbor:"1,keyasint"`
}

type explainReply struct {
	Explanation Explanation `cbor:"1,keyasint"`
}

// Handler returns the path prefix of the API and its handler, which accepts only
// calls with one of the keys.
func (service *Service) Handler(keys []wire.Key) (string, http.Handler) {
	options := wire.HandlerOptions(keys)
	routes := http.NewServeMux()
	routes.Handle(procedureApply, connect.NewUnaryHandler(procedureApply, service.apply, options...))
	routes.Handle(procedureShow, connect.NewUnaryHandler(procedureShow, service.show, options...))
	routes.Handle(procedureHistory, connect.NewUnaryHandler(procedureHistory, service.history, options...))
	routes.Handle(procedureStatus, connect.NewUnaryHandler(procedureStatus, service.status, options...))
	routes.Handle(procedureDrain, connect.NewUnaryHandler(procedureDrain, service.drain, options...))
	routes.Handle(procedureExplain, connect.NewUnaryHandler(procedureExplain, service.explain, options...))
	return prefix, routes
}

func (service *Service) status(_ context.Context, _ *connect.Request[statusCall]) (*connect.Response[statusReply], error) {
	return connect.NewResponse(&statusReply{Report: *service.node.Report()}), nil
}

func (service *Service) explain(_ context.Context, request *connect.Request[explainCall]) (*connect.Response[explainReply], error) {
	return connect.NewResponse(&explainReply{Explanation: service.node.Explain(request.Msg.Request)}), nil
}

func (service *Service) apply(ctx context.Context, request *connect.Request[applyCall]) (*connect.Response[applyReply], error) {
	spec, err := intent.Parse(request.Msg.File, request.Msg.Text)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	applyresult, err := service.Apply(ctx, spec, request.Msg.Base, wire.KeyHolder(ctx))
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&applyReply{Result: applyresult}), nil
}

// connectError returns an error with the status code that the client receives.
func connectError(err error) error {
	var faults jsonc.Faults
	switch {
	case errors.As(err, &faults):
		return connect.NewError(connect.CodeInvalidArgument, err)
	case errors.Is(err, ErrMissingBase), errors.Is(err, config.ErrTooLarge), errors.Is(err, ErrUnknownVersion):
		return connect.NewError(connect.CodeFailedPrecondition, err)
	case errors.Is(err, rows.ErrOutage), errors.Is(err, blobs.ErrOutage), errors.Is(err, ErrBusy):
		return connect.NewError(connect.CodeUnavailable, err)
	default:
		return connect.NewError(connect.CodeInternal, err)
	}
}

func (service *Service) show(ctx context.Context, request *connect.Request[showCall]) (*connect.Response[showReply], error) {
	configsnapshot, err := service.Show(ctx, request.Msg.Version)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&showReply{Snapshot: configsnapshot}), nil
}

// Show returns the configuration in force, or with a version above 0 the configuration
// as of that version.
func (service *Service) Show(ctx context.Context, version int64) (ConfigSnapshot, error) {
	if version > 0 {
		body, _, err := service.textAt(ctx, version)
		return ConfigSnapshot{Head: version, Text: string(body)}, err
	}
	stored, err := service.store.List(ctx, config.Partition)
	if err != nil {
		return ConfigSnapshot{}, err
	}
	spec, err := intent.Join(config.SectionsOf(stored))
	if err != nil {
		return ConfigSnapshot{}, err
	}
	configsnapshot := ConfigSnapshot{Head: int64(headOf(stored).Version), Text: string(jsonc.Indent(spec))}
	for _, row := range stored {
		if row.Key != config.HeadKey() {
			configsnapshot.Sections = append(configsnapshot.Sections, Section{Name: row.Key.Sort, Version: int64(row.Version), Body: string(row.Body)})
		}
	}
	return configsnapshot, nil
}

func (service *Service) history(ctx context.Context, _ *connect.Request[historyCall]) (*connect.Response[historyReply], error) {
	stored, err := service.store.List(ctx, config.HistoryPartition)
	if err != nil {
		return nil, connectError(err)
	}
	reply := &historyReply{}
	for _, row := range stored {
		historyentry, err := config.DecodeHistoryEntry(row)
		if err != nil {
			return nil, connectError(err)
		}
		reply.Changes = append(reply.Changes, Change{Version: historyentry.Version, Operator: historyentry.Operator, At: historyentry.At, Sections: historyentry.Sections})
	}
	return connect.NewResponse(reply), nil
}

// DrainRecord is the body of a drain's row. The body is empty once the drain is
// cancelled.
type DrainRecord struct {
	Kind string    `json:"kind"`
	Name string    `json:"name"`
	By   string    `json:"by"`
	At   time.Time `json:"at"`
}

// DrainsPartition is the partition of the rows of drains.
const DrainsPartition = "drain"

// DrainKey returns the key of a drain's row.
func DrainKey(kind, name string) rows.Key {
	return rows.Key{Partition: DrainsPartition, Sort: kind + "/" + name}
}

// The kinds of targets that can be drained.
const (
	KindEndpoint = "endpoint"
	KindReplica  = "replica"
	KindZone     = "zone"
)

func (service *Service) drain(ctx context.Context, request *connect.Request[drainCall]) (*connect.Response[drainReply], error) {
	drainrequest := request.Msg.Request
	if !service.exists(drainrequest) {
		return nil, connect.NewError(connect.CodeNotFound, errors.Newf("admin: this node does not know a %s named %q", drainrequest.Kind, drainrequest.Name))
	}
	key := DrainKey(drainrequest.Kind, drainrequest.Name)
	row, err := service.store.Get(ctx, key)
	if err != nil && !errors.Is(err, rows.ErrAbsent) {
		return nil, connectError(err)
	}
	row.Key = key
	body, err := json.Marshal(DrainRecord{Kind: drainrequest.Kind, Name: drainrequest.Name, By: wire.KeyHolder(ctx), At: time.Now().UTC()})
	if err != nil {
		return nil, connectError(err)
	}
	if drainrequest.Cancel {
		body = nil
	}
	txn := rows.Txn{WriteID: uuid.NewString(), Ops: []rows.Op{rows.Replace(row, body)}}
	if _, committed := table.CommitAndResolve(ctx, service.store, txn).(rows.Committed); !committed {
		return nil, connectError(ErrBusy)
	}
	service.node.Broadcast(ctx, []rows.Row{{Key: key}}) // the key alone makes nodes read the partition again
	return connect.NewResponse(&drainReply{}), nil
}

func (service *Service) exists(drainrequest DrainRequest) bool {
	report := service.node.Report()
	switch drainrequest.Kind {
	case KindEndpoint:
		for _, endpoint := range report.Endpoints {
			if endpoint.Host == drainrequest.Name {
				return true
			}
		}
	case KindReplica:
		for _, replica := range report.Replicas {
			if replica.Replica.ID == drainrequest.Name {
				return true
			}
		}
	case KindZone:
		for _, endpoint := range report.Endpoints {
			if endpoint.Zone == drainrequest.Name {
				return true
			}
		}
	}
	return false
}
