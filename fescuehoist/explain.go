package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"fescuehoist.example/fescuehoist/trace"
)

var errNotLogged = errors.New("no log line with the request's id")

type explainCommand struct {
	ID    string   `arg:"" help:"Id of the request."`
	Files []string `arg:"" optional:"" placeholder:"FILE" help:"Logs of daemons; standard input by default."`
}

// Run prints the log lines of one request from the logs of several daemons.
func (c *explainCommand) Run(_ context.Context, out *output) error {
	t := trace.New(c.ID)
	if len(c.Files) == 0 {
		if err := t.Read(os.Stdin); err != nil {
			return err
		}
	}
	for _, name := range c.Files {
		if err := readFile(name, t.Read); err != nil {
			return err
		}
	}
	if !t.Found() {
		return fmt.Errorf("%w: %q", errNotLogged, c.ID)
	}
	return t.Write(out)
}

func readFile(name string, read func(io.Reader) error) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return read(file)
}
