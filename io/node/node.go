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
	"hickorybend/io/engine"
	"hickorybend/io/event"
	"hickorybend/io/front"
	"hickorybend/io/hosts"
	"hickorybend/io/meter"
	"hickorybend/io/peers"
	"hickorybend/io/table"
	"hickorybend/io/wire"
)

// ErrListen says that the node cannot have one of its addresses.
var ErrListen = errors.New("node: cannot listen")

// Module provides every part of the daemon and runs it.
func Module() fx.Option {
	return fx.Module("node",
		fx.Provide(
			newSelf, newSecure, newStore, newBlobs, newOutside, newControl,
			newFront, newAdmin, engine.New, meter.New,
		),
		fx.Invoke(run),
	)
}

func newSelf(settings conf.Settings) roster.Node {
	return roster.Node{
		Name: settings.Node, Incarnation: settings.Node + "/" + uuid.NewString(), Zone: settings.Zone,
		ControlAddress: settings.ControlAddress, CallerAddress: settings.CallersAddress,
	}
}

// secure is the TLS between nodes, or nil where none is set up.
type secure struct {
	tls *tls.Config
}

func newSecure(settings conf.Settings) (secure, error) {
	if settings.TLS == nil {
		return secure{}, nil
	}
	certfiles := wire.CertFiles{Cert: settings.TLS.CertFile, Key: settings.TLS.KeyFile, CA: settings.TLS.CAFile}
	loaded, err := wire.TLS(certfiles)
	return secure{tls: loaded}, err
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

const platformConnections = 32

func platformHTTP() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: platformConnections, IdleConnTimeout: time.Minute}}
}

func newOutside(settings conf.Settings, store rows.Store, engines *engine.Client, secure secure) Dependencies {
	return Dependencies{
		Store: store, Engines: engines,
		Hosts: hosts.New(settings.Platform.HostsEndpoint, platformHTTP()),
		Peers: peers.NewClient(wire.HTTPClient(secure.tls), wire.Scheme(secure.tls), settings.PeerKey),
	}
}

func newControl(settings conf.Settings, self roster.Node, dependencies Dependencies, log *zap.Logger, meter *meter.Meter) *Control {
	return NewControl(settings, self, dependencies, log, meter)
}

func newFront(settings conf.Settings, self roster.Node, control *Control, engines *engine.Client, store rows.Store, log *zap.Logger, meter *meter.Meter) *front.Server {
	return front.New(self.Incarnation, control.Views(), engines, store,
		front.WithLimits(settings.Limits), front.WithGate(quota.NewAdmission(settings.Quota)),
		front.WithMeter(meter), front.WithLog(log))
}

// parts are what run starts and stops.
type parts struct {
	fx.In

	Settings conf.Settings
	Control  *Control
	Front    *front.Server
	Admin    adminHandler
	Secure   secure
	Log      *zap.Logger
	Self     roster.Node
	Meter    *meter.Meter
	Stopper  fx.Shutdowner
}

const (
	headerLimit   = 5 * time.Second
	idleLimit     = 2 * time.Minute
	maxHeaderSize = 64 << 10
)

func run(lifecycle fx.Lifecycle, parts parts) {
	callers := &http.Server{
		Handler: parts.Front.Handler(), ReadHeaderTimeout: headerLimit, IdleTimeout: idleLimit, MaxHeaderBytes: maxHeaderSize,
	}
	operators := &http.Server{
		Handler: controlHandler(parts), ReadHeaderTimeout: headerLimit, IdleTimeout: idleLimit, TLSConfig: parts.Secure.tls,
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			if err := listen(callers, parts.Settings.CallersAddress, nil, parts); err != nil {
				cancel()
				return err
			}
			if err := listen(operators, parts.Settings.ControlAddress, parts.Secure.tls, parts); err != nil {
				cancel()
				return err
			}
			go func() {
				parts.Control.Run(ctx)
				close(ended)
			}()
			event.Log(parts.Log, event.NodeStarted, zap.String("node", parts.Self.Name), zap.String("zone", parts.Self.Zone),
				zap.String("callers", parts.Settings.CallersAddress), zap.String("control", parts.Settings.ControlAddress))
			return nil
		},
		OnStop: func(stopping context.Context) error {
			drain(stopping, parts, callers)
			_ = operators.Close()
			cancel()
			<-ended
			event.Log(parts.Log, event.NodeStopped, zap.String("node", parts.Self.Name))
			return nil
		},
	})
}

func listen(server *http.Server, address string, secure *tls.Config, parts parts) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "address %s", address), ErrListen)
	}
	if secure != nil {
		listener = tls.NewListener(listener, secure)
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			event.Log(parts.Log, event.NodeFailed, zap.Error(err))
			_ = parts.Stopper.Shutdown(fx.ExitCode(1))
		}
	}()
	return nil
}

// drain lets a node go without cutting off anyone: first the balancer gets
// time to see that the node is not ready, then the requests under way finish,
// then the leases are given up for others to take at once.
func drain(ctx context.Context, parts parts, callers *http.Server) {
	event.Log(parts.Log, event.NodeDraining, zap.Int64("open", parts.Front.InFlight()))
	parts.Front.Drain()
	parts.Control.tell(leaving{done: make(chan struct{})})
	wait(ctx, parts.Settings.Drain.Notice)
	ctx, cancel := context.WithTimeout(ctx, parts.Settings.Drain.Limit)
	defer cancel()
	_ = callers.Shutdown(ctx)
	for parts.Front.Unrecorded() > 0 && ctx.Err() == nil {
		wait(ctx, tickEvery)
	}
	left := make(chan struct{})
	parts.Control.tell(leaving{last: true, done: left})
	select {
	case <-left:
	case <-ctx.Done():
	}
}

func wait(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func controlHandler(parts parts) http.Handler {
	routes := http.NewServeMux()
	path, handler := peers.Handler(local{control: parts.Control}, parts.Settings.PeerKey)
	routes.Handle(path, handler)
	routes.Handle(parts.Admin.path, parts.Admin.handler)
	routes.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		parts.Meter.WriteText(w)
	})
	return routes
}

// local answers other nodes from what control has published.
type local struct {
	control *Control
}

// ReceiveRows takes in rows that another node pushed.
func (local local) ReceiveRows(changed []rows.Row) {
	local.control.tell(pushed{rows: changed})
}

// ConfigStatus says what this node knows of the configuration.
func (local local) ConfigStatus(head int64) peers.ConfigStatus {
	known := local.control.mind.Load()
	configstatus := peers.ConfigStatus{Zone: known.zone, StoreReachable: known.seesStore, InDoubt: known.inDoubt, Head: known.head, ConfirmationAge: time.Since(known.confirmed)}
	if known.head > head {
		configstatus.Config = known.sections
	}
	if head == 0 {
		configstatus.Config = append(slices.Clone(configstatus.Config), known.replicas...)
	}
	return configstatus
}
