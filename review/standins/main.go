// Command cases plays the review's cases against daemons that run as separate processes.
// It hosts the stand-ins of the platform's store, the upstreams and the clients.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds a function for each case, which returns what broke the rule, "" if nothing.
var cases = map[string]func(*scene) (string, error){
	"store-copy":    playStoreCopy,
	"config-values": playConfigValues,
	"tenant-name":   playTenantName,
	"two-fleets":    playTwoFleets,
	"late-report":   playLateReport,
	"order-number":  playOrderNumber,
}

func main() { os.Exit(run1()) }

func run1() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		return exitNotRun
	}
	s, err := newScene(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		s.close()
		os.Exit(exitNotRun)
	}()
	broken, err := cases[os.Args[1]](s)
	switch {
	case err != nil:
		s.record.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken != "":
		s.record.printf("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	s.record.printf("held")
	fmt.Println("held")
	return exitHeld
}
