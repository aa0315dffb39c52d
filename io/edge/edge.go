package edge

import (
	"context"
	"net"
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
	"hickorybend/io/entry"
	"hickorybend/io/event"
	"hickorybend/io/gossip"
	"hickorybend/io/meter"
	"hickorybend/io/pool"
	"hickorybend/platform"
)

// ErrListen says that the node cannot have one of its addresses.
var ErrListen = errors.New("edge: cannot listen")

const (
	sweepEvery   = 2 * time.Second
	callersIdle  = 2 * time.Minute // beyond any limit that a configuration states for callers
	internalIdle = time.Minute
	headerLimit  = 5 * time.Second
	heapPercent  = 300 // more memory for less time in the collector
	memoryPart   = 0.6 // of the machine's memory, where the collector runs sooner
	budgetKeep   = 0.8 // of the shared budget, for what other nodes count elsewhere
)

// SettingsPath is the path that the settings were read from.
type SettingsPath string

// Module provides every part of the node and runs it.
func Module() fx.Option {
	return fx.Module("edge",
		fx.Provide(newStore, pool.New, platform.NewEngineClient, meter.New, NewControl, newEntry),
		fx.Invoke(run),
	)
}

func newStore(settings Settings) *platform.Store { return platform.NewStore(settings.StoreAddress) }

func newEntry(settings Settings, control *Control, channels *pool.Pool, log *zap.Logger, meter *meter.Meter) *entry.Server {
	server := entry.New(channels, control.Snapshot(),
		entry.WithLog(log), entry.WithMeter(meter), entry.WithSuspect(control.Suspect),
		entry.WithRetryBudget(retry.Policy{Ratio: settings.Retry.Ratio, Extra: settings.Retry.Extra, Window: settings.Retry.Window, UsableShare: budgetKeep}))
	control.visited = server.HadRequests
	control.asked = server.Demand
	control.lost = server.AbortAttempts
	return server
}

// parts are what run starts and stops.
type parts struct {
	fx.In

	Settings Settings
	File     SettingsPath
	Control  *Control
	Entry    *entry.Server
	Channels *pool.Pool
	Log      *zap.Logger
	Meter    *meter.Meter
	Stopper  fx.Shutdowner
}

func run(lifecycle fx.Lifecycle, parts parts) {
	debug.SetGCPercent(heapPercent)
	debug.SetMemoryLimit(int64(memoryPart * float64(parts.Settings.MemoryMB) * (1 << 20)))
	callers := &http.Server{
		Handler: parts.Entry, ReadHeaderTimeout: parts.Settings.HeaderTimeout, IdleTimeout: callersIdle, MaxHeaderBytes: parts.Settings.HeaderBytes,
	}
	ready := &http.Server{Handler: readiness(parts.Control), ReadHeaderTimeout: headerLimit, IdleTimeout: internalIdle}
	peers := &http.Server{Handler: internal(parts), ReadHeaderTimeout: headerLimit, IdleTimeout: internalIdle}
	ctx, cancel := context.WithCancel(context.Background())
	parts.Control.ctx = ctx
	parts.Control.start(time.Now())
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			for _, one := range []struct {
				server  *http.Server
				address string
			}{{callers, parts.Settings.CallersAddress}, {ready, parts.Settings.ReadyAddress}, {peers, parts.Settings.PeersAddress}} {
				if err := listen(one.server, one.address, parts); err != nil {
					cancel()
					return err
				}
			}
			go parts.Control.Run(ctx)
			go sweep(ctx, parts)
			go reload(ctx, parts)
			event.Log(parts.Log, event.NodeStarted, zap.String("node", parts.Settings.Node), zap.String("zone", parts.Settings.Zone),
				zap.String("callers", parts.Settings.CallersAddress), zap.Bool("first-start", parts.Settings.FirstStart))
			return nil
		},
		OnStop: func(context.Context) error {
			drain(parts, callers)
			cancel()
			_ = ready.Close()
			_ = peers.Close()
			event.Log(parts.Log, event.NodeStopped, zap.String("node", parts.Settings.Node))
			return nil
		},
	})
}

func listen(server *http.Server, address string, parts parts) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "address %s", address), ErrListen)
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			event.Log(parts.Log, event.NodeFailed, zap.Error(err))
			_ = parts.Stopper.Shutdown(fx.ExitCode(1))
		}
	}()
	return nil
}

// readiness answers the platform's balancer on every path: the address serves
// nothing else.
func readiness(control *Control) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !control.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

func internal(parts parts) http.Handler {
	routes := http.NewServeMux()
	path, handler := gossip.Handler(parts.Control, parts.Settings.PeerKey)
	routes.Handle(path, handler)
	routes.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		parts.Meter.WriteText(w)
	})
	return routes
}

func sweep(ctx context.Context, parts parts) {
	for ctx.Err() == nil {
		wait(ctx, sweepEvery)
		used := map[string]bool{}
		for _, pool := range parts.Control.Snapshot().Load().Services {
			for _, candidate := range pool.Plain {
				used[candidate.Address] = true
			}
			for _, candidates := range pool.Models {
				for _, candidate := range candidates {
					used[candidate.Address] = true
				}
			}
		}
		parts.Channels.Sweep(used)
		parts.Meter.Gauge("channels_opened", float64(parts.Channels.Dials()))
	}
}

// reload checks the settings again on SIGHUP. Addresses hold until the next
// start; a file that cannot be read changes nothing.
func reload(ctx context.Context, parts parts) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			settings, err := ReadSettings(string(parts.File))
			event.Log(parts.Log, event.SettingsReloaded, zap.Error(err), zap.Bool("same", reflect.DeepEqual(settings, parts.Settings)))
		}
	}
}

const (
	lastMargin = 300 * time.Millisecond // before the platform kills the process
	idlePause  = 50 * time.Millisecond
)

// drain lets the node go without cutting anyone off: it says that it is not
// ready and serves on, each answer the last of its channel; then what is under
// way finishes, and the process ends before it would be killed.
func drain(parts parts, callers *http.Server) {
	began := time.Now()
	event.Log(parts.Log, event.NodeDraining, zap.Int64("open", parts.Entry.InFlight()))
	end := began.Add(parts.Settings.Grace - lastMargin)
	parts.Entry.Drain(end)
	done := make(chan struct{})
	parts.Control.tell(leave{done: done})
	time.Sleep(parts.Settings.DrainDelay)
	for parts.Entry.InFlight() > 0 && time.Now().Before(end) {
		time.Sleep(idlePause)
	}
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		event.Log(parts.Log, event.DrainTimedOut, zap.Int64("open", parts.Entry.InFlight()), zap.Error(err))
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}
