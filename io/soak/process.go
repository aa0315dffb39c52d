package soak

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// process is a program that the soak started. The soak signals no other.
type process struct {
	command  *exec.Cmd
	done     chan struct{}
	mutex    sync.Mutex
	stopping bool // SIGTERM or SIGKILL was sent, or is about to be
}

// startProcess starts a program and appends its output to a file.
func startProcess(logFile, program string, arguments ...string) (*process, error) {
	output, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "soak: opening the log of a process")
	}
	defer func() { _ = output.Close() }() // the process has its own descriptor
	command := exec.Command(program, arguments...)
	command.Stdout, command.Stderr = output, output
	command.Env = append(os.Environ(), "GOMAXPROCS=2")
	if err := command.Start(); err != nil {
		return nil, errors.Wrap(err, "soak: starting a process")
	}
	started := &process{command: command, done: make(chan struct{})}
	go func() {
		_ = command.Wait() // whether the exit was expected depends on stopping, not on the status
		close(started.done)
	}()
	return started, nil
}

// running reports whether the process has not exited.
func (process *process) running() bool {
	select {
	case <-process.done:
		return false
	default:
		return true
	}
}

func (process *process) signal(signal syscall.Signal) {
	if process.running() {
		_ = process.command.Process.Signal(signal) // the process may have exited meanwhile
	}
}

func (process *process) kill() {
	process.markStopping()
	process.signal(syscall.SIGKILL)
	<-process.done
}

// markStopping records that the process is going to be stopped, so that its exit
// is expected.
func (process *process) markStopping() {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	process.stopping = true
}

func (process *process) isStopping() bool {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	return process.stopping
}

// stop sends SIGTERM, and SIGKILL if the process has not exited after the timeout.
// It reports whether SIGTERM was enough.
func (process *process) stop(timeout time.Duration) bool {
	process.markStopping()
	process.signal(syscall.SIGTERM)
	select {
	case <-process.done:
		return true
	case <-time.After(timeout):
		process.kill()
		return false
	}
}
