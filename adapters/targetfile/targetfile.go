// Package targetfile reads and writes the files in which operators declare
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

// Load reads a file of targets and checks it whole. The error lists every
// problem, each with its line.
func Load(name string) ([]*target.Service, error) {
	data, err := tomlfile.Read(name)
	if err != nil {
		return nil, err
	}
	return Parse(name, data)
}

// Parse reads targets from data; name is used in problems.
func Parse(name string, data []byte) ([]*target.Service, error) {
	var in fileTOML
	f := tomlfile.Decode(name, data, &in)
	if f.Broken() {
		return nil, f.Err()
	}
	if len(in.Service) == 0 {
		f.AddProblem("", "declares no service; add [[service]]")
	}
	services := make([]*target.Service, len(in.Service))
	first := map[string]int{}
	for i := range in.Service {
		services[i] = in.Service[i].service(f, i)
		if j, ok := first[services[i].Name]; ok {
			f.AddProblem(key(i, -1, "name"), fmt.Sprintf("%q is declared on line %d already", services[i].Name, f.Line(key(j, -1, "name"))))
		} else {
			first[services[i].Name] = i
		}
		note(f, i, services[i])
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return services, nil
}

// note adds the problems that the service's own check finds.
func note(f *tomlfile.File, i int, s *target.Service) {
	for _, p := range s.Validate() {
		f.AddProblem(key(i, p.Position-1, p.Field), p.Text)
	}
}

func key(service, class int, field string) string {
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
			Latency: duration(f, key(i, j, "latency"), c.Latency),
			Timeout: duration(f, key(i, j, "timeout"), c.Timeout),
			Notice:  duration(f, key(i, j, "notice"), c.Notice),
		})
	}
	return s
}

// duration reads a duration; an absent one is 0 and left to the check.
func duration(f *tomlfile.File, key, text string) time.Duration {
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		f.AddProblem(key, fmt.Sprintf("%.80q is no duration; write a number and a unit, such as \"60ms\" or \"48h\"", text))
	}
	return d
}

// Format writes services as a file of targets.
func Format(services []*target.Service) (string, error) {
	var out fileTOML
	for _, s := range services {
		st := serviceTOML{Name: s.Name}
		for i := range s.Classes {
			c := &s.Classes[i]
			ct := classTOML{
				Name: c.Name, Method: c.Method, Path: c.Path, Rank: c.Rank, Success: c.Success, Keep: c.GuaranteedShare,
				Latency: c.Latency.String(), Timeout: c.Timeout.String(), Idempotent: c.Idempotent, Internal: c.Internal,
			}
			if c.Notice > 0 {
				ct.Notice = c.Notice.String()
			}
			st.Class = append(st.Class, ct)
		}
		out.Service = append(out.Service, st)
	}
	var b strings.Builder
	err := toml.NewEncoder(&b).SetIndentTables(true).Encode(out)
	return b.String(), err
}

// IsProblems reports whether the error lists problems of a file.
func IsProblems(err error) bool {
	var ps tomlfile.Problems
	return errors.As(err, &ps)
}
