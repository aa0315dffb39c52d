package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"hickorybend/core/quota"
	"hickorybend/core/roster"
	"hickorybend/core/rows"
	"hickorybend/io/blobs"
	"hickorybend/io/conf"
	"hickorybend/io/drain"
	"hickorybend/io/engine"
	"hickorybend/io/event"
	"hickorybend/io/front"
	"hickorybend/io/gate"
	"hickorybend/io/hosts"
	"hickorybend/io/meter"
	"hickorybend/io/peers"
	"hickorybend/io/table"
	"hickorybend/io/wire"
)

// ErrListen means that the node cannot listen on one of its addresses.
var ErrListen = errors.New("node: cannot listen")

// Module provides the components of the daemon and runs it.
func Module() fx.Option {
	return fx.Module("node",
		fx.Provide(
			newSelf, newControlTLS, newStore, newBlobs, newDependencies, newControl,
			newFront, newAdmin, engine.New, meter.New,
		),
		fx.Invoke(run),
	)
}

func newSelf(settings conf.Settings) roster.Node {
	return roster.Node{
		Name: settings.Node, Incarnation: settings.Node + "/" + uuid.NewString(), Zone: settings.Zone,
		ControlAddress: settings.ControlAddress, CallersAddress: settings.CallersAddress,
	}
}

// controlTLS is the TLS configuration of the control address and of calls to other
// nodes; config is nil if TLS is not set up.
type controlTLS struct {
	config *tls.Config
}

func newControlTLS(settings conf.Settings) (controlTLS, error) {
	if settings.TLS == nil {
		return controlTLS{}, nil
	}
	certfiles := wire.CertFiles{Cert: settings.TLS.CertFile, Key: settings.TLS.KeyFile, CA: settings.TLS.CAFile}
	loaded, err := wire.TLS(certfiles)
	return controlTLS{config: loaded}, err
}

func newStore(settings conf.Settings) rows.Store {
	return table.New(table.Options{
		Endpoint: settings.Platform.TableEndpoint, Table: settings.Platform.Table, Region: settings.Platform.Region,
		KeyID: settings.Platform.KeyID, Secret: settings.Platform.Secret, HTTP: platformHTTP(),
	})
}

func newBlobs(settings conf.Settings) *blobs.Client {
	return blobs.New(blobs.Options{
		Endpoint: settings.Platform.ObjectEndpoint, Bucket: settings.Platform.Bucket, Region: settings.Platform.Region,
		KeyID: settings.Platform.KeyID, Secret: settings.Platform.Secret, HTTP: platformHTTP(),
	})
}

const maxIdleConnections = 32

func platformHTTP() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: time.Minute}}
}

func newDependencies(settings conf.Settings, store rows.Store, engines *engine.Client, controltls controlTLS) Dependencies {
	return Dependencies{
		Store: store, Engines: engines,
		Hosts: hosts.New(settings.Platform.HostsEndpoint, platformHTTP()),
		Peers: peers.NewClient(wire.HTTPClient(controltls.config), wire.Scheme(controltls.config), settings.PeerKey),
	}
}

func newControl(settings conf.Settings, self roster.Node, dependencies Dependencies, log *zap.Logger, meter *meter.Meter) *Control {
	return NewControl(settings, self, dependencies, log, meter)
}

func newFront(settings conf.Settings, self roster.Node, control *Control, engines *engine.Client, store rows.Store, log *zap.Logger, meter *meter.Meter) *front.Server {
	return front.New(self.Incarnation, control.Views(), engines, store,
		front.WithLimits(settings.Limits), front.WithAdmission(quota.NewAdmission(settings.Quota)),
		front.WithMeter(meter), front.WithLog(log))
}

// params are the components that run starts and stops.
type params struct {
	fx.In

	Settings   conf.Settings
	Control    *Control
	Front      *front.Server
	Admin      adminHandler
	ControlTLS controlTLS
	Log        *zap.Logger
	Self       roster.Node
	Meter      *meter.Meter
	Shutdowner fx.Shutdowner
}

const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 15 * time.Second // of a whole request; longer than the limit that the front has for a body by default
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// run starts the servers and control with the application, and drains and stops them
// with it.
func run(lifecycle fx.Lifecycle, params params) {
	gates := newGates(params)
	callerServer := &http.Server{
		Handler: gate.Handler(params.Front.Handler()), ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: gate.ConnContext, ConnState: drain.ConnState,
	}
	controlServer := &http.Server{
		Handler: gate.Handler(controlHandler(params)), ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		TLSConfig: params.ControlTLS.config, ConnContext: gate.ConnContext, ConnState: drain.ConnState,
	}
	var callers *drain.Listener
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			var err error
			if callers, err = drain.Listen(params.Settings.CallersAddress, gates.callers); err != nil {
				cancel()
				return errors.Mark(errors.Wrapf(err, "node: listening on %s", params.Settings.CallersAddress), ErrListen)
			}
			serve(callerServer, callers, params)
			if err := listenControl(controlServer, gates.control, params); err != nil {
				cancel()
				return err
			}
			go func() {
				params.Control.Run(ctx)
				close(stopped)
			}()
			event.Log(params.Log, event.NodeStarted, zap.String("node", params.Self.Name), zap.String("zone", params.Self.Zone),
				zap.String("callers", params.Settings.CallersAddress), zap.String("control", params.Settings.ControlAddress))
			return nil
		},
		OnStop: func(stopCtx context.Context) error {
			drainNode(stopCtx, params, callerServer, callers)
			_ = controlServer.Close()
			cancel()
			<-stopped
			event.Log(params.Log, event.NodeStopped, zap.String("node", params.Self.Name))
			return nil
		},
	})
}

// listenControl listens for nodes and operators. The gate cannot count what is encrypted.
func listenControl(server *http.Server, gate *gate.Gate, params params) error {
	address := params.Settings.ControlAddress
	if params.ControlTLS.config != nil {
		gate = nil
	}
	var listener net.Listener
	listener, err := drain.Listen(address, gate)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "node: listening on %s", address), ErrListen)
	}
	if params.ControlTLS.config != nil {
		listener = tls.NewListener(listener, params.ControlTLS.config)
	}
	serve(server, listener, params)
	return nil
}

// serve serves until the server is closed, and stops the node if that fails before.
func serve(server *http.Server, listener net.Listener, params params) {
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			event.Log(params.Log, event.NodeFailed, zap.Error(err))
			_ = params.Shutdowner.Shutdown(fx.ExitCode(1))
		}
	}()
}

// drainNode prepares the node's stop without ending requests early. First the node reports
// that it is not ready and releases its leases, so that other nodes acquire them at
// once. Then it waits for the notice time, so that the load balancer stops sending to
// it. Then, within the drain timeout, the running requests finish and their outcomes
// are recorded. The node's row is deleted last.
func drainNode(ctx context.Context, params params, callerServer *http.Server, callers *drain.Listener) {
	event.Log(params.Log, event.NodeDraining, zap.Int64("open", params.Front.InFlight()))
	params.Front.Drain()
	params.Control.enqueue(drainRequest{done: make(chan struct{})})
	sleep(ctx, params.Settings.Drain.Notice)
	ctx, cancel := context.WithTimeout(ctx, params.Settings.Drain.Timeout)
	defer cancel()
	callers.Drain(ctx)
	_ = callerServer.Shutdown(ctx)
	for params.Front.Unrecorded() > 0 && ctx.Err() == nil {
		sleep(ctx, tickInterval)
	}
	removed := make(chan struct{})
	params.Control.enqueue(drainRequest{removeRow: true, done: removed})
	select {
	case <-removed:
	case <-ctx.Done():
	}
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func controlHandler(params params) http.Handler {
	routes := http.NewServeMux()
	path, handler := peers.Handler(local{control: params.Control}, params.Settings.PeerKey)
	routes.Handle(path, handler)
	routes.Handle(params.Admin.path, params.Admin.handler)
	routes.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		params.Meter.WriteText(w)
	})
	return routes
}

// local implements peers.Local: it answers other nodes from the published snapshot.
type local struct {
	control *Control
}

// ReceiveRows passes rows that another node pushed to control.
func (local local) ReceiveRows(changed []rows.Row) {
	local.control.enqueue(rowsReceived{rows: changed})
}

// ConfigStatus returns the status of this node's configuration. The status includes
// the sections if the caller's head is older than this node's. A caller without a head
// has just started, and gets the replica rows too.
func (local local) ConfigStatus(head int64) peers.ConfigStatus {
	snapshot := local.control.snapshot.Load()
	configstatus := peers.ConfigStatus{Zone: snapshot.zone, StoreReachable: snapshot.storeReachable, InDoubt: snapshot.inDoubt, Head: snapshot.head, ConfirmationAge: time.Since(snapshot.confirmedAt)}
	if snapshot.head > head {
		configstatus.Config = snapshot.sections
	}
	if head == 0 {
		configstatus.Config = append(slices.Clone(configstatus.Config), snapshot.replicas...)
	}
	return configstatus
}
