// Package targetfile reads and writes the TOML files in which operators declare
// targets.
package targetfile

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"fescuehoist.example/adapters/tomlfile"
	"fescuehoist.example/mesh/target"
)

type fileTOML struct {
	Service []serviceTOML `toml:"service"`
}

type serviceTOML struct {
	Name  string      `toml:"name"`
	Class []classTOML `toml:"class"`
}

type classTOML struct {
	Name       string  `toml:"name"`
	Method     string  `toml:"method,omitempty"`
	Path       string  `toml:"path"`
	Rank       int     `toml:"rank"`
	Latency    string  `toml:"latency"`
	Success    float64 `toml:"success"`
	Keep       float64 `toml:"keep"`
	Timeout    string  `toml:"timeout"`
	Idempotent bool    `toml:"idempotent"`
	Internal   bool    `toml:"internal,omitempty"`
	Notice     string  `toml:"notice,omitempty"`
}

// Load reads and checks a file of targets. The error lists every problem with its
// line and key.
func Load(name string) ([]*target.Service, error) {
	data, err := tomlfile.Read(name)
	if err != nil {
		return nil, err
	}
	return Parse(name, data)
}

// Parse reads and checks targets from data. name is the file name in problems.
func Parse(name string, data []byte) ([]*target.Service, error) {
	var in fileTOML
	f := tomlfile.Decode(name, data, &in)
	if f.Undecodable() {
		return nil, f.Err()
	}
	if len(in.Service) == 0 {
		f.AddProblem("", "declares no service; add [[service]]")
	}
	services := make([]*target.Service, len(in.Service))
	firstIndex := map[string]int{}
	for i := range in.Service {
		services[i] = in.Service[i].service(f, i)
		if j, ok := firstIndex[services[i].Name]; ok {
			f.AddProblem(keyPath(i, -1, "name"), fmt.Sprintf("%q is already declared on line %d", services[i].Name, f.Line(keyPath(j, -1, "name"))))
		} else {
			firstIndex[services[i].Name] = i
		}
		addProblems(f, i, services[i])
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return services, nil
}

// addProblems adds the problems found by validating the i-th service.
func addProblems(f *tomlfile.File, i int, s *target.Service) {
	for _, p := range s.Validate() {
		f.AddProblem(keyPath(i, p.Position-1, p.Field), p.Text)
	}
}

// keyPath returns the key of a field of a service, or of one of its classes if
// class is not negative.
func keyPath(service, class int, field string) string {
	if class < 0 {
		return fmt.Sprintf("service[%d].%s", service, field)
	}
	return fmt.Sprintf("service[%d].class[%d].%s", service, class, field)
}

func (in *serviceTOML) service(f *tomlfile.File, i int) *target.Service {
	s := &target.Service{Name: in.Name}
	for j := range in.Class {
		c := &in.Class[j]
		s.Classes = append(s.Classes, target.Class{
			Name: c.Name, Method: c.Method, Path: c.Path, Rank: c.Rank, Success: c.Success, GuaranteedShare: c.Keep,
			Idempotent: c.Idempotent, Internal: c.Internal,
			Latency: parseDuration(f, keyPath(i, j, "latency"), c.Latency),
			Timeout: parseDuration(f, keyPath(i, j, "timeout"), c.Timeout),
			Notice:  parseDuration(f, keyPath(i, j, "notice"), c.Notice),
		})
	}
	return s
}

// parseDuration parses a duration. A missing one is 0, which validation reports
// if the field is required.
func parseDuration(f *tomlfile.File, key, text string) time.Duration {
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		f.AddProblem(key, fmt.Sprintf("%.80q is not a duration; write a number and a unit, such as \"60ms\" or \"48h\"", text))
	}
	return d
}

// Format returns services as the text of a file of targets.
func Format(services []*target.Service) (string, error) {
	var out fileTOML
	for _, s := range services {
		outService := serviceTOML{Name: s.Name}
		for i := range s.Classes {
			c := &s.Classes[i]
			outClass := classTOML{
				Name: c.Name, Method: c.Method, Path: c.Path, Rank: c.Rank, Success: c.Success, Keep: c.GuaranteedShare,
				Latency: c.Latency.String(), Timeout: c.Timeout.String(), Idempotent: c.Idempotent, Internal: c.Internal,
			}
			if c.Notice > 0 {
				outClass.Notice = c.Notice.String()
			}
			outService.Class = append(outService.Class, outClass)
		}
		out.Service = append(out.Service, outService)
	}
	var b strings.Builder
	err := toml.NewEncoder(&b).SetIndentTables(true).Encode(out)
	return b.String(), err
}

// IsProblems reports whether err lists problems of a file (tomlfile.Problems).
func IsProblems(err error) bool {
	var problems tomlfile.Problems
	return errors.As(err, &problems)
}
