// Command cases plays the cases of the second review: it is the platform, the runners and the clients, and starts the
// nodes as processes of their own.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const maxTime = 110 * time.Second // of a case

// cases are the cases by name.
var cases = map[string]func(*world) (outcome, error){
	"crowd": playCrowd, "group": playGroup, "blind": playBlind,
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases CASE")
		os.Exit(int(outcomeUnrun))
	}
	world, err := newWorld()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(outcomeUnrun))
	}
	go world.endEarly()
	result, err := cases[os.Args[1]](world)
	if err != nil {
		world.log("the case could not run: %v", err)
		result = outcomeUnrun
	}
	world.log("result %d", result)
	world.close()
	os.Exit(int(result))
}

// endEarly ends the case, and all processes that it has started, when it takes too long or is told to stop.
func (world *world) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-signals:
		world.log("the case is told to stop")
	case <-time.After(maxTime):
		world.log("the case takes too long")
	}
	world.close()
	os.Exit(int(outcomeUnrun))
}
