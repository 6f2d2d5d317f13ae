// Package loadfile decodes and validates the TOML experiment files of the load tool. Unknown keys are errors.
package loadfile

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"egretline.example/egretline/pkg/load"
	"egretline.example/egretline/pkg/settings"
)

// Defaults of optional keys.
const (
	defaultWorkers = 512
	defaultTimeout = 5 * time.Second
	defaultWeight  = 1
)

// ExperimentError reports an invalid experiment file, with the position of the fault and its remedy. Line is 0 if no
// single line is at fault.
type ExperimentError struct {
	Path   string
	Line   int
	Key    string
	Remedy string
}

func (e ExperimentError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.Path, e.Line, e.Key, e.Remedy)
}

type experimentFile struct {
	Name              string            `toml:"name"`
	Seed              uint64            `toml:"seed"`
	Duration          settings.Duration `toml:"duration"`
	Workers           int               `toml:"workers"`
	Nodes             []string          `toml:"nodes"`
	AvailabilityZones []string          `toml:"availability-zones"`
	CheckEcho         bool              `toml:"check-echo"`
	Tenants           []tenantTable     `toml:"tenants"`
	Flows             []flowTable       `toml:"flows"`
	Phases            []phaseTable      `toml:"phases"`
}

type tenantTable struct {
	Name   string  `toml:"name"`
	Token  string  `toml:"token"`
	Weight float64 `toml:"weight"`
}

type flowTable struct {
	Name              string            `toml:"name"`
	Rank              string            `toml:"rank"`
	Service           string            `toml:"service"`
	Method            string            `toml:"method"`
	Path              string            `toml:"path"`
	Idempotent        bool              `toml:"idempotent"`
	RequestsPerSecond float64           `toml:"requests-per-second"`
	BodyBytes         int               `toml:"body-bytes"`
	Timeout           settings.Duration `toml:"timeout"`
	LatencyTarget     settings.Duration `toml:"target"`
	Tenants           []string          `toml:"tenants"`
}

type phaseTable struct {
	Flow   string            `toml:"flow"`
	From   settings.Duration `toml:"from"`
	To     settings.Duration `toml:"to"`
	Factor float64           `toml:"factor"`
}

// Load reads and validates an experiment file. It returns ExperimentError for unknown, missing or malformed keys, and a
// wrapped os error if the file cannot be read.
func Load(path string) (load.Experiment, error) {
	contents, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return load.Experiment{}, eris.Wrap(err, "read experiment")
	}
	return Decode(path, contents)
}

// Decode decodes and validates the contents of an experiment file. The path is used only in errors.
func Decode(path string, contents []byte) (load.Experiment, error) {
	f := experimentFile{Workers: defaultWorkers}
	d := toml.NewDecoder(bytes.NewReader(contents))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return load.Experiment{}, decodeError(path, err)
	}
	e := toExperiment(f)
	return e, validate(path, e)
}

func decodeError(path string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		first := strict.Errors[0]
		line, _ := first.Position()
		return ExperimentError{Path: path, Line: line, Key: strings.Join(first.Key(), "."), Remedy: "unknown key; remove it"}
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		return ExperimentError{Path: path, Line: line, Key: strings.Join(decode.Key(), "."), Remedy: decode.Error()}
	}
	return ExperimentError{Path: path, Remedy: err.Error()}
}

func toExperiment(f experimentFile) load.Experiment {
	e := load.Experiment{
		Name: f.Name, Seed: f.Seed, Duration: f.Duration.Duration, Workers: f.Workers, Nodes: f.Nodes,
		AvailabilityZones: f.AvailabilityZones, CheckEcho: f.CheckEcho,
	}
	for _, t := range f.Tenants {
		if t.Weight == 0 {
			t.Weight = defaultWeight
		}
		e.Tenants = append(e.Tenants, load.Tenant(t))
	}
	for _, fl := range f.Flows {
		if fl.Timeout.Duration == 0 {
			fl.Timeout.Duration = defaultTimeout
		}
		e.Flows = append(e.Flows, load.Flow{
			Name: fl.Name, Rank: fl.Rank, Service: fl.Service, Method: fl.Method, Path: fl.Path, Idempotent: fl.Idempotent,
			RequestsPerSecond: fl.RequestsPerSecond, BodyBytes: fl.BodyBytes, Timeout: fl.Timeout.Duration,
			LatencyTarget: fl.LatencyTarget.Duration, Tenants: fl.Tenants,
		})
	}
	for _, p := range f.Phases {
		e.Phases = append(e.Phases, load.Phase{Flow: p.Flow, From: p.From.Duration, To: p.To.Duration, Factor: p.Factor})
	}
	return e
}

// rule is the result of one validation rule, with the key and the remedy to report if it is violated.
type rule struct {
	violated bool
	key      string
	remedy   string
}

func validate(path string, e load.Experiment) error {
	rules := []rule{
		{e.Duration <= 0, "duration", "must be above zero, such as \"30s\""},
		{e.Workers <= 0, "workers", "must be above zero"},
		{len(e.Nodes) == 0, "nodes", "name at least one caller address IP:port of a node"},
		{len(e.Tenants) == 0, "tenants", "add at least one tenant with its token"},
		{len(e.Flows) == 0, "flows", "add at least one flow"},
	}
	for _, t := range e.Tenants {
		rules = append(rules, rule{t.Weight < 0, "tenants." + t.Name + ".weight", "must not be negative"})
	}
	for _, f := range e.Flows {
		rules = append(rules, flowRules(e, f)...)
	}
	for _, p := range e.Phases {
		undefined := !slices.ContainsFunc(e.Flows, func(f load.Flow) bool { return f.Name == p.Flow })
		rules = append(rules,
			rule{undefined, "phases.flow", fmt.Sprintf("no flow is named %q", p.Flow)},
			rule{p.To <= p.From, "phases.to", "must be later than from"},
			rule{p.Factor < 0, "phases.factor", "must not be negative"})
	}
	for _, r := range rules {
		if r.violated {
			return ExperimentError{Path: path, Key: r.key, Remedy: r.remedy}
		}
	}
	return nil
}

func flowRules(e load.Experiment, f load.Flow) []rule {
	key := func(name string) string { return "flows." + f.Name + "." + name }
	rules := []rule{
		{f.Name == "", "flows.name", "must not be empty"},
		{f.Rank == "", key("rank"), "must not be empty"},
		{f.Service == "", key("service"), "must not be empty"},
		{f.Method == "", key("method"), "must not be empty"},
		{!strings.HasPrefix(f.Path, "/"), key("path"), "must start with /"},
		{f.RequestsPerSecond <= 0, key("requests-per-second"), "must be above zero"},
	}
	for _, name := range f.Tenants {
		undefined := !slices.ContainsFunc(e.Tenants, func(t load.Tenant) bool { return t.Name == name })
		rules = append(rules, rule{undefined, key("tenants"), fmt.Sprintf("no tenant is named %q", name)})
	}
	return rules
}
