package edge

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"hickorybend/core/retry"
	"hickorybend/io/assign"
	"hickorybend/io/drain"
	"hickorybend/io/entry"
	"hickorybend/io/event"
	"hickorybend/io/gate"
	"hickorybend/io/gossip"
	"hickorybend/io/meter"
	"hickorybend/io/pool"
	"hickorybend/platform"
)

// ErrListen means that the node cannot listen on one of its addresses.
var ErrListen = errors.New("edge: cannot listen")

const (
	sweepInterval       = 2 * time.Second
	callersIdleTimeout  = 2 * time.Minute // longer than any idle timeout that a configuration sets for callers
	internalIdleTimeout = time.Minute
	headerTimeout       = 5 * time.Second
	gcPercent           = 300 // GOGC: uses more memory to spend less time in the garbage collector
	memoryLimitFraction = 0.6 // GOMEMLIMIT as a fraction of the memory-mb setting; near it the collector runs more often
	usableBudgetShare   = 0.8 // of the shared retry budget; the rest is a margin for what other nodes count
)

// SettingsPath is the path of the settings file.
type SettingsPath string

// Module provides the node's components and runs them.
func Module() fx.Option {
	return fx.Module("edge",
		fx.Provide(newStore, newPool, platform.NewEngineClient, meter.New, NewControl, newServer),
		fx.Invoke(run),
	)
}

func newStore(settings Settings) *platform.Store { return platform.NewStore(settings.StoreAddress) }

func newPool() *pool.Pool { return pool.New(pool.WithAnswerIDs(platform.AnswerIDs)) }

func newServer(settings Settings, control *Control, pool *pool.Pool, log *zap.Logger, meter *meter.Meter) *entry.Server {
	server := entry.New(pool, control.Snapshot(),
		entry.WithLog(log), entry.WithMeter(meter), entry.WithSuspect(control.Suspect), entry.WithConfirm(control.Confirm), entry.WithLeaving(control.Leaving), entry.WithCrashes(control.AttemptBroken, control.TrialEnded), entry.WithLimits(control.LimitStated), entry.WithUnreachable(control.Unreachable), entry.WithLateness(control.LateBy),
		entry.WithMemory(int64(settings.MemoryMB)<<20),
		entry.WithRegion(settings.regions().Own()),
		entry.WithPeers(control.Peers, settings.Node, settings.PeerKey),
		entry.WithAssigner(control.assignment.client), entry.WithRouting(routingPolicy(settings)),
		entry.WithRetryBudget(retry.Policy{Ratio: settings.Retry.Ratio, Extra: settings.Retry.Extra, Window: settings.Retry.Window, UsableShare: usableBudgetShare}))
	control.hadRequests = server.HadRequests
	control.localDemand = server.Demand
	control.uses, control.doubtAnswers = server.Uses, server.DoubtAnswers
	control.localRequests = server.Requests
	control.reportLost, control.reportFound = server.ReportLost, server.ReportFound
	control.setBudgets = pool.SetBudgets
	pool.OnReset(control.ConnectionReset)
	pool.OnGivenUp(logGivenUp(log, meter))
	pool.OnLate(func(since time.Time) bool { return control.LateBy(since) > 0 })
	pool.OnCopy(logCopy(log, meter))
	return server
}

// params are the components that run starts and stops.
type params struct {
	fx.In

	Settings     Settings
	SettingsPath SettingsPath
	Control      *Control
	Server       *entry.Server
	Pool         *pool.Pool
	Log          *zap.Logger
	Meter        *meter.Meter
	Shutdowner   fx.Shutdowner
}

func run(lifecycle fx.Lifecycle, params params) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(params.Settings.MemoryMB) * (1 << 20)))
	callers := newHTTPServer(params.Server, params.Settings, params.Settings.HeaderTimeout, callersIdleTimeout)
	ready := newHTTPServer(readinessHandler(params.Control), params.Settings, headerTimeout, internalIdleTimeout)
	peers := newHTTPServer(internalHandler(params), params.Settings, headerTimeout, internalIdleTimeout)
	peers.MaxHeaderBytes += peerHeaderBytes
	gates := newGates(params)
	var callersListener, readyListener, peersListener *drain.Listener
	ctx, cancel := context.WithCancel(context.Background())
	params.Control.ctx = ctx
	params.Control.initClock(time.Now())
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			for _, binding := range []struct {
				server   *http.Server
				address  string
				gate     *gate.Gate
				listener **drain.Listener
			}{
				{callers, params.Settings.CallersAddress, gates.callers, &callersListener}, {ready, params.Settings.ReadyAddress, gates.ready, &readyListener},
				{peers, params.Settings.PeersAddress, gates.peers, &peersListener},
			} {
				var err error
				if *binding.listener, err = listen(binding.server, binding.address, binding.gate, params); err != nil {
					cancel()
					return err
				}
			}
			if err := params.Control.lateness.startPulse(ctx); err != nil {
				cancel()
				return err
			}
			go params.Control.Run(ctx)
			go sweepConnections(ctx, params)
			go gates.report(ctx, params.Meter)
			go recheckSettings(ctx, params)
			event.Log(params.Log, event.NodeStarted, zap.String("node", params.Settings.Node), zap.String("zone", params.Settings.Zone),
				zap.String("callers", params.Settings.CallersAddress), zap.Bool("first-start", params.Settings.FirstStart))
			return nil
		},
		OnStop: func(context.Context) error {
			drainNode(params, callers, callersListener, peersListener)
			cancel()
			_ = ready.Close()
			_ = peers.Close()
			event.Log(params.Log, event.NodeStopped, zap.String("node", params.Settings.Node))
			return nil
		},
	})
}

func listen(server *http.Server, address string, gate *gate.Gate, params params) (*drain.Listener, error) {
	listener, err := drain.Listen(address, gate)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "edge: listening on %s", address), ErrListen)
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			event.Log(params.Log, event.NodeFailed, zap.Error(err))
			_ = params.Shutdowner.Shutdown(fx.ExitCode(1))
		}
	}()
	return listener, nil
}

// readinessHandler returns the handler of readiness checks by the platform's load
// balancer. It answers on every path, since its address serves nothing else.
func readinessHandler(control *Control) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !control.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// internalHandler returns the handler of calls from other nodes, of callers' requests that
// they send on, and of metrics.
func internalHandler(params params) http.Handler {
	routes := http.NewServeMux()
	path, handler := gossip.Handler(params.Control, params.Settings.PeerKey)
	routes.Handle(path, handler)
	path, handler = assign.Handler(params.Control.assignment.server, params.Settings.PeerKey)
	routes.Handle(path, handler)
	routes.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		params.Meter.WriteText(w)
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if params.Server.IsPeerRequest(r) { // whatever its path is
			params.Server.ServePeer(w, r)
			return
		}
		routes.ServeHTTP(w, r)
	})
}

// sweepConnections closes idle connections that have expired, and those to
// addresses that are not in the snapshot, until the context ends.
func sweepConnections(ctx context.Context, params params) {
	for ctx.Err() == nil {
		sleep(ctx, sweepInterval)
		inUse := map[string]bool{}
		if peers := params.Control.Peers(); peers != nil {
			for _, peer := range peers.List {
				inUse[peer.Candidate.Address] = true
			}
		}
		for _, servicepool := range params.Control.Snapshot().Load().Services {
			for _, candidate := range servicepool.Plain {
				inUse[candidate.Address] = true
			}
			for _, candidates := range servicepool.Models {
				for _, candidate := range candidates {
					inUse[candidate.Address] = true
				}
			}
		}
		params.Pool.Sweep(inUse)
		params.Meter.Gauge("channels_opened", float64(params.Pool.Dials()))
		reportConnections(params.Meter, params.Pool.CountsByService())
		held, ended := params.Server.HeldBytes()
		params.Meter.Gauge("held_bytes", float64(held))
		params.Meter.Gauge("held_bytes_ended", float64(ended))
	}
}

// recheckSettings reads the settings file again on SIGHUP, and logs whether it
// is valid and whether it differs from the settings in use. These stay in use
// until the next start.
func recheckSettings(ctx context.Context, params params) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			settings, err := ReadSettings(string(params.SettingsPath))
			event.Log(params.Log, event.SettingsReread, zap.Error(err), zap.Bool("same", reflect.DeepEqual(settings, params.Settings)))
		}
	}
}

const (
	killMargin        = 300 * time.Millisecond  // between the end of the drain and the platform's kill
	holdDelay         = 2500 * time.Millisecond // the platform lets streams that are sent within 3 s of SIGTERM end with the process
	drainPollInterval = 50 * time.Millisecond
)

// drainNode shuts the node down without cutting requests off. The node reports that
// it is not ready and keeps serving for the drain delay, each answer the last on
// its connection. Then the requests in flight finish, with those that have come but are not
// with a handler yet, and the process exits before the platform would kill it.
func drainNode(params params, callers *http.Server, callersListener, peersListener *drain.Listener) {
	start := time.Now()
	event.Log(params.Log, event.NodeDraining, zap.Int64("open", params.Server.InFlight()))
	deadline := start.Add(params.Settings.Grace - killMargin)
	params.Server.Drain(start.Add(min(params.Settings.DrainDelay, holdDelay)), deadline)
	leaseReleased := make(chan struct{})
	params.Control.enqueue(drainRequest{done: leaseReleased})
	time.Sleep(params.Settings.DrainDelay)
	for params.Server.InFlight() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	left := callersListener.Drain(ctx)
	left += peersListener.Drain(ctx)
	if err := callers.Shutdown(ctx); err != nil || left > 0 {
		event.Log(params.Log, event.DrainTimedOut, zap.Int64("open", params.Server.InFlight()), zap.Int("connections", left), zap.Error(err))
	}
	select {
	case <-leaseReleased:
	case <-ctx.Done():
		return // the others find out by themselves
	}
	withdrawn := make(chan struct{})
	params.Control.enqueue(withdrawRequest{done: withdrawn})
	select {
	case <-withdrawn:
	case <-ctx.Done():
	}
}
