package soak

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// process is a program that the soak started; it signals no other.
type process struct {
	command *exec.Cmd
	done    chan struct{}
	mutex   sync.Mutex
	asked   bool // to end
}

// startProcess runs a program; its output is added to a file.
func startProcess(logFile, program string, arguments ...string) (*process, error) {
	output, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "soak")
	}
	defer func() { _ = output.Close() }() // the process has its own copy
	command := exec.Command(program, arguments...)
	command.Stdout, command.Stderr = output, output
	command.Env = append(os.Environ(), "GOMAXPROCS=2")
	if err := command.Start(); err != nil {
		return nil, errors.Wrap(err, "soak")
	}
	started := &process{command: command, done: make(chan struct{})}
	go func() {
		_ = command.Wait() // how it ended does not matter, only whether it was asked to
		close(started.done)
	}()
	return started, nil
}

// live tells whether the process has not ended.
func (process *process) live() bool {
	select {
	case <-process.done:
		return false
	default:
		return true
	}
}

func (process *process) signal(signal syscall.Signal) {
	if process.live() {
		_ = process.command.Process.Signal(signal) // it may have ended just now
	}
}

func (process *process) kill() {
	process.ask()
	process.signal(syscall.SIGKILL)
	<-process.done
}

// ask notes that the process is told to end.
func (process *process) ask() {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	process.asked = true
}

func (process *process) wasAsked() bool {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	return process.asked
}

// end asks the process to end, and kills it when it does not.
func (process *process) end(limit time.Duration) bool {
	process.ask()
	process.signal(syscall.SIGTERM)
	select {
	case <-process.done:
		return true
	case <-time.After(limit):
		process.kill()
		return false
	}
}
