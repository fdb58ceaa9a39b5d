// Command standin-backend runs a stand-in for a backend server next to a daemon.
// It is meant for tests only.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"fescuehoist.example/standin/backend"
)

type arguments struct {
	Listen  string        `required:"" placeholder:"IP:PORT" help:"Address to listen on."`
	Admin   string        `required:"" placeholder:"IP:PORT" help:"Admin address of its daemon."`
	Service string        `required:"" help:"Service of the backend server."`
	Slots   int           `default:"12" help:"Number of requests that it executes at once."`
	Work    time.Duration `default:"20ms" help:"Service time of a request."`
}

func main() {
	var args arguments
	kong.Parse(&args, kong.Name("standin-backend"),
		kong.Description("A stand-in for a backend server. GET "+backend.ExecutionsPath+" returns the number of executions of each request ID."))
	if err := run(&args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args *arguments) error {
	ln, err := net.Listen("tcp", args.Listen)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	b := backend.New(backend.Config{
		Service: args.Service, Slots: args.Slots, Admin: args.Admin,
		Work: func(string, string) time.Duration { return args.Work },
	})
	return b.Run(ctx, ln)
}
