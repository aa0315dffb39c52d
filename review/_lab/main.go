// Command lab plays the cases of the review that cannot be put as a day of the users' bench.
// It starts the project's node as processes of their own, with the command of the deploy file,
// and stands in for clients, runners and the platform's store.
//
// The exit status is 1 if the case's rule was broken, 0 if it held, and 2 if the case could not
// run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// errBroken means that the rule of the case was broken.
var errBroken = errors.New("the rule was broken")

var cases = map[string]func(*record) error{
	"memory":  memoryCase,
	"recover": recoverCase,
	"grace":   graceCase,
}

// trouble reports whether the disruption is played.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// started are the processes that this program has started.
var started processes

type processes struct {
	mutex    sync.Mutex
	commands []*exec.Cmd
}

func (processes *processes) add(command *exec.Cmd) {
	processes.mutex.Lock()
	defer processes.mutex.Unlock()
	processes.commands = append(processes.commands, command)
}

// env returns a number from the environment.
func env(name string, otherwise int) int {
	if value, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return value
	}
	return otherwise
}

// endOnSignal ends the started processes if this program is told to end.
func (processes *processes) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	processes.mutex.Lock()
	for _, command := range processes.commands {
		if command.ProcessState == nil {
			_ = command.Process.Kill()
		}
	}
	os.Exit(2)
}

func main() {
	go started.endOnSignal()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		os.Exit(2)
	}
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	err = cases[os.Args[1]](record)
	switch {
	case err == nil:
		record.summary("held")
	case errors.Is(err, errBroken):
		record.summary("BROKEN: %v", err)
		os.Exit(1)
	default:
		record.summary("could not run: %v", err)
		os.Exit(2)
	}
}

// record writes what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(name string) (*record, error) {
	file, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

func (record *record) line(format string, values ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	fmt.Fprintf(record.file, "%8.3f "+format+"\n", append([]any{time.Since(record.start).Seconds()}, values...)...)
}

// summary writes a line of the record to the standard output as well.
func (record *record) summary(format string, values ...any) {
	record.line(format, values...)
	fmt.Printf(format+"\n", values...)
}
