// Command standin-platform runs a stand-in for the platform's object API. It
// keeps all objects in memory and is meant for tests only.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"fescuehoist.example/standin/platform"
)

type arguments struct {
	Listen string `default:"127.0.0.1:7000" placeholder:"IP:PORT" help:"Address to listen on."`
}

func main() {
	var args arguments
	kong.Parse(&args, kong.Name("standin-platform"),
		kong.Description("A stand-in for the platform that keeps objects in memory. SIGUSR1 starts an outage, SIGUSR2 ends it."))
	if err := run(args.Listen); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	p := platform.New()
	go handleFaultSignals(ctx, p)
	return p.Run(ctx, ln)
}

// handleFaultSignals starts an outage on SIGUSR1 and ends it on SIGUSR2 until ctx
// ends.
func handleFaultSignals(ctx context.Context, p *platform.Platform) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGUSR2)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			p.SetFaults(platform.Faults{Outage: s == syscall.SIGUSR1})
		}
	}
}
