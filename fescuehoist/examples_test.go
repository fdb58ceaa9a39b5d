package main

import (
	"path/filepath"
	"strings"
	"testing"

	"fescuehoist.example/adapters/settings"
	"fescuehoist.example/adapters/targetfile"
)

func TestExampleFilesLoad(t *testing.T) {
	files, err := filepath.Glob("../examples/*/*.toml")
	if err != nil || len(files) < 6 {
		t.Fatalf("found %d example files, want at least 6; error %v", len(files), err)
	}
	for _, name := range files {
		if strings.HasSuffix(name, "targets.toml") {
			_, err = targetfile.Load(name)
		} else {
			_, err = settings.Load(name)
		}
		if err != nil {
			t.Error(err)
		}
	}
}
