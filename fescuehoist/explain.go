package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"fescuehoist.example/fescuehoist/story"
)

var errNotLogged = errors.New("no line of these logs tells of the request")

type explainCommand struct {
	ID    string   `arg:"" help:"The request's id."`
	Files []string `arg:"" optional:"" placeholder:"FILE" help:"Logs of daemons; standard input by default."`
}

// Run prints what the logs of several daemons tell of one request.
func (c *explainCommand) Run(_ context.Context, out *output) error {
	l := story.New(c.ID)
	if len(c.Files) == 0 {
		if err := l.Read(os.Stdin); err != nil {
			return err
		}
	}
	for _, name := range c.Files {
		if err := readFile(name, l.Read); err != nil {
			return err
		}
	}
	if !l.Found() {
		return fmt.Errorf("%w: %q", errNotLogged, c.ID)
	}
	return l.Write(out)
}

func readFile(name string, read func(io.Reader) error) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return read(file)
}
