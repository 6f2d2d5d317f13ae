package measure

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/trace"
)

var updateFixtures = flag.Bool("update", false, "rewrite the recorded traces in _fixtures/traces")

var recordedScenarios = []struct {
	name       string
	fault      Fault
	preference fleet.Preference
	duration   time.Duration
}{
	{"stall", Stall, fleet.FasterDetection, 6 * time.Second},
	{"flap", Flap, fleet.FasterDetection, 16 * time.Second},
	{"one-way-partition", ZonePartition, fleet.Balanced, 12 * time.Second},
	{"cold-start", ColdStart, fleet.FasterDetection, 9 * time.Second},
	{"slow-pool", SlowPool, fleet.FewerFalseEjections, 8 * time.Second},
	{"healthy-noise", NoFault, fleet.FewerFalseEjections, 10 * time.Second},
}

// Guards against results that depend on the order of map iteration: the same seed must record the same trace. With
// -update the test also writes the traces to _fixtures/traces, which the tests of pkg/trace read.
func TestHealthRepeats(t *testing.T) {
	for _, x := range recordedScenarios {
		t.Run(x.name, func(t *testing.T) {
			first := recordTrace(x.name, x.fault, x.preference, x.duration)
			assertRepeats(t, first, recordTrace(x.name, x.fault, x.preference, x.duration))
			if *updateFixtures {
				path := filepath.Join("..", "..", "_fixtures", "traces", x.name+".jsonl")
				is.New(t).NoErr(os.WriteFile(path, first, 0o600))
			}
		})
	}
}

func recordTrace(name string, fault Fault, preference fleet.Preference, duration time.Duration) []byte {
	d := deployments[0]
	d.preference = preference
	s := newScenario(d, "survey-vault", fault, uint64(len(name)))
	s.FaultAt = 3 * time.Second
	s.Duration = duration
	var b bytes.Buffer
	s.Record = func(e trace.Event) { _ = trace.Write(&b, e) }
	RunHealth(s)
	return b.Bytes()
}

func assertRepeats(t *testing.T, first, second []byte) {
	t.Helper()
	is := is.New(t)
	is.True(len(first) > 0)
	is.True(bytes.Equal(first, second))
}
