package main

import (
	"bytes"
	"embed"
	"encoding/json"
	"text/template"
)

// The names and messages of the users' pages are kept as data, apart from the code
// that uses them.
//
//go:embed messages
var messageFiles embed.FS

// names holds the names of header fields, paths and fields on the wire.
var names = loadNames()

func loadNames() (n struct {
	ID            string `json:"id"`
	Deadline      string `json:"deadline"`
	Seal          string `json:"seal"`
	Target        string `json:"target"`
	Instance      string `json:"instance"`
	NotRun        string `json:"not_run"`
	InstancesPath string `json:"instances_path"`
	ObjectsPath   string `json:"objects_path"`
	Wait          string `json:"wait"`
	More          string `json:"more"`
	At            string `json:"at"`
}) {
	text, err := messageFiles.ReadFile("messages/names.json")
	if err == nil {
		err = json.Unmarshal(text, &n)
	}
	if err != nil {
		panic(err)
	}
	return n
}

var templates = template.Must(template.ParseFS(messageFiles, "messages/*.tmpl"))

// message fills in one of the message templates.
func message(name string, values any) []byte {
	var b bytes.Buffer
	if err := templates.ExecuteTemplate(&b, name, values); err != nil {
		panic(err)
	}
	return bytes.TrimSpace(b.Bytes())
}

// reportValues are the values of a status report.
type reportValues struct {
	Address, Service, Zone, State string
	Born                          int64
	Slots, Sequence               int
}
