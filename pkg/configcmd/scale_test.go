package configcmd_test

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"runtime"
	"strings"
	"testing"

	"egretline.example/egretline/pkg/configcmd"
	"egretline.example/egretline/pkg/configrecord"
	"egretline.example/egretline/pkg/decide/fold"
)

// The design size, in one file for each service.
const (
	serviceCount   = 260
	serversPerFile = 11000/serviceCount + 1
	routesPerFile  = 5400/serviceCount + 1
	tenantsPerFile = 37000/serviceCount + 1
)

// BenchmarkScale measures the cost of a configuration change for one node at the design size.
func BenchmarkScale(b *testing.B) {
	state := stateOfServices(serviceCount)
	_, decoded := configcmd.Compile(state, nil)
	changed := state
	changed.Files = maps.Clone(state.Files)
	changed.Files["service-0.toml"] = fold.File{Revision: 5000, Contents: serviceFile(0)}
	b.Run("live heap", func(b *testing.B) {
		empty := liveHeap()
		for b.Loop() {
			s := stateOfServices(serviceCount)
			compiled, decoded := configcmd.Compile(s, nil)
			b.ReportMetric(float64(liveHeap()-empty), "live-bytes")
			runtime.KeepAlive([]any{s, compiled, decoded})
		}
	})
	b.Run("compile all files", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			configcmd.Compile(state, nil)
		}
	})
	b.Run("compile one changed file", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			configcmd.Compile(changed, decoded)
		}
	})
	b.Run("encode a snapshot", func(b *testing.B) {
		b.ReportAllocs()
		size := 0
		for b.Loop() {
			size = len(configrecord.EncodeSnapshot(state))
		}
		b.ReportMetric(float64(size), "snapshot-bytes")
		b.ReportMetric(float64(len(configrecord.EncodeState(state))), "state-bytes")
		b.ReportMetric(float64(len(serviceFile(0))), "file-bytes")
	})
}

// BenchmarkColdStart measures the start of a node from a snapshot, by the number of services. Each service has its
// share of the backend servers, routes and tenants.
func BenchmarkColdStart(b *testing.B) {
	for _, files := range []int{3, 60, serviceCount} {
		b.Run(fmt.Sprintf("services=%d", files), func(b *testing.B) {
			data := configrecord.EncodeSnapshot(stateOfServices(files))
			b.ReportAllocs()
			for b.Loop() {
				s, err := configrecord.DecodeSnapshot(data)
				if err != nil {
					b.Fatal(err)
				}
				configcmd.Compile(s, nil)
			}
			b.ReportMetric(float64(len(data)), "snapshot-bytes")
		})
	}
}

func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func stateOfServices(files int) fold.State {
	var s fold.State
	for i := range files {
		s, _ = fold.Step(s, s.Next, fold.Apply{
			ID: fmt.Sprintf("%026d", i), File: fmt.Sprintf("service-%d.toml", i), Contents: serviceFile(i),
		})
	}
	for i := files; i < fold.MaxDecisions; i++ {
		s, _ = fold.Step(s, s.Next, fold.Apply{ID: fmt.Sprintf("%026d", i), File: "service-0.toml"})
	}
	return s
}

func serviceFile(n int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "[service.s%d]\nregion = \"midlands\"\nfloor = 20\n", n)
	for i := range serversPerFile {
		fmt.Fprintf(&b, "[[service.s%d.backend-server]]\naddress = \"10.%d.%d.%d:9000\"\navailability-zone = \"midlands-a\"\n"+
			"slots = 6\nconnections = 400\n", n, n/256, n%256, i+1)
	}
	for i := range routesPerFile {
		fmt.Fprintf(&b, "[[route]]\nname = \"r%d-%d\"\nservice = \"s%d\"\nmethod = \"GET\"\npath-prefix = \"/s%d/%d\"\n"+
			"rank = \"bookings\"\nidempotent = true\ntimeout = \"5s\"\n", n, i, n, n, i)
	}
	for i := range tenantsPerFile {
		fmt.Fprintf(&b, "[tenant.t%d-%d]\ntoken-sha256 = \"%x\"\nservices = [\"s%d\"]\nrequests-per-second = 50\n", n, i,
			sha256.Sum256([]byte(fmt.Sprint(n, i))), n)
	}
	return []byte(b.String())
}
