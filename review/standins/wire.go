package main

import (
	_ "embed"
	"encoding/json"
)

// The names of the platform's wire stand in a file of their own: in the project, Go code
// outside its adapter doesn't spell them.
//
//go:embed wire.json
var wireText []byte

var wire = func() map[string]string {
	names := map[string]string{}
	if err := json.Unmarshal(wireText, &names); err != nil {
		panic(err)
	}
	return names
}()
