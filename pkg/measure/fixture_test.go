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

var update = flag.Bool("update", false, "write the recorded traces under _fixtures/traces anew")

var recorded = []struct {
	name       string
	fault      Fault
	preference fleet.Preference
	length     time.Duration
}{
	{"stall", Stall, fleet.FasterDetection, 6 * time.Second},
	{"flap", Flap, fleet.FasterDetection, 16 * time.Second},
	{"one-way-partition", Partition, fleet.Balanced, 12 * time.Second},
	{"cold-start", ColdStart, fleet.FasterDetection, 9 * time.Second},
	{"slow-pool", SlowPool, fleet.FewerFalseEjections, 8 * time.Second},
	{"healthy-noise", NoFault, fleet.FewerFalseEjections, 10 * time.Second},
}

// Guards against figures that depend on the order of map iteration: the same seed records the same trace. With -update the
// traces are written to the fixtures of pkg/trace.
func TestHealthRepeats(t *testing.T) {
	for _, x := range recorded {
		t.Run(x.name, func(t *testing.T) {
			first := record(x.name, x.fault, x.preference, x.length)
			assertRepeats(t, first, record(x.name, x.fault, x.preference, x.length))
			if *update {
				path := filepath.Join("..", "..", "_fixtures", "traces", x.name+".jsonl")
				is.New(t).NoErr(os.WriteFile(path, first, 0o600))
			}
		})
	}
}

func record(name string, fault Fault, preference fleet.Preference, length time.Duration) []byte {
	d := deployments[0]
	d.preference = preference
	s := scenario(d, "survey-vault", fault, uint64(len(name)))
	s.FaultAt = 3 * time.Second
	s.Length = length
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
