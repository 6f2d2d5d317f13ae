// Command controlcost measures the control-plane overhead of one idle node (CPU time, memory, messages to peers) at a
// given fleet size. The other hosts are entries of the host list that share one peer address, where an HTTP server
// counts the messages.
package main

import (
	"context"
	"crypto/sha256"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"egretline.example/egretline/service/api"
	"egretline.example/egretline/test/fleetproc"
)

// clockTicksPerSecond is the unit of CPU times in /proc on Linux (USER_HZ).
const clockTicksPerSecond = 100

// fleetSize is the size of the fleet and of its configuration.
type fleetSize struct {
	Hosts    int
	Services int
	Servers  int
	Routes   int
	Tenants  int
}

// processUsage is the resource usage of a process: its CPU time since the start and its current resident memory.
type processUsage struct {
	CPUTime       time.Duration
	ResidentBytes int64
}

func main() {
	var s fleetSize
	flag.IntVar(&s.Hosts, "hosts", 44, "hosts on the host list")
	flag.IntVar(&s.Services, "services", 3, "services, one configuration file each")
	flag.IntVar(&s.Servers, "servers", 36, "backend servers of all services")
	flag.IntVar(&s.Routes, "routes", 30, "routes of all services")
	flag.IntVar(&s.Tenants, "tenants", 100, "tenants of all services")
	profile := flag.String("profile", "", "file for a CPU profile of the node, taken after the measurement")
	window := flag.Duration("window", 20*time.Second, "time over which CPU time is measured")
	flag.Parse()
	if err := run(s, *window, *profile); err != nil {
		fmt.Fprintln(os.Stderr, "controlcost:", err)
		os.Exit(1)
	}
}

func run(s fleetSize, window time.Duration, profile string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*window+2*time.Minute)
	defer cancel()
	directory, err := os.MkdirTemp("", "egretline-controlcost-")
	if err != nil {
		return eris.Wrap(err, "create directory")
	}
	defer os.RemoveAll(directory) //nolint:errcheck // only temporary files
	if err := fleetproc.Build(ctx, ".", directory); err != nil {
		return err
	}
	f, err := fleetproc.New(ctx, directory, directory)
	if err != nil {
		f.Close()
		return err
	}
	defer f.Close()
	var messages atomic.Int64
	peers := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		messages.Add(1)
		w.WriteHeader(http.StatusNoContent)
	}))
	defer peers.Close()
	n, err := startNode(ctx, f, s, strings.TrimPrefix(peers.URL, "http://"))
	if err != nil {
		return err
	}
	before, err := readUsage(n.PID())
	if err != nil {
		return err
	}
	messagesBefore := messages.Load()
	windowEnd := time.NewTimer(window)
	<-windowEnd.C
	after, err := readUsage(n.PID())
	if err != nil {
		return err
	}
	cpuPercent := 100 * (after.CPUTime - before.CPUTime).Seconds() / window.Seconds()
	fmt.Printf("hosts=%d services=%d servers=%d routes=%d tenants=%d: %.2f%% of a core, %.1f MB resident, %.1f messages to peers a second\n",
		s.Hosts, s.Services, s.Servers, s.Routes, s.Tenants, cpuPercent, float64(after.ResidentBytes)/1e6,
		float64(messages.Load()-messagesBefore)/window.Seconds())
	if profile == "" {
		return nil
	}
	return saveResponse(ctx, fmt.Sprintf("%s/debug/pprof/profile?seconds=%.0f", n.OperatorURL, window.Seconds()), profile)
}

// saveResponse sends a GET request and writes the response body to the file.
func saveResponse(ctx context.Context, url, path string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrap(err, "create profile request")
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return eris.Wrap(err, "fetch profile")
	}
	defer response.Body.Close() //nolint:errcheck // only read
	f, err := os.Create(path)   //nolint:gosec // the operator names the file
	if err != nil {
		return eris.Wrap(err, "create profile")
	}
	if _, err := io.Copy(f, response.Body); err != nil {
		return eris.Wrap(err, "write profile")
	}
	return eris.Wrap(f.Close(), "close profile")
}

// startNode starts one node, adds the other hosts to the host list, and waits until the configuration is in force.
func startNode(ctx context.Context, f *fleetproc.Fleet, s fleetSize, peerAddress string) (*fleetproc.Node, error) {
	n, err := f.StartNode(ctx, "node-0", "kz-central-0")
	if err != nil {
		return nil, err
	}
	for i := 1; i < s.Hosts; i++ {
		h := api.Host{
			ID: fmt.Sprint("node-", i), Region: n.Host.Region, AvailabilityZone: fmt.Sprint("kz-central-", i%4),
			CallerAddress: peerAddress, PeerAddress: peerAddress,
		}
		if err := f.ListHost(ctx, h); err != nil {
			return nil, err
		}
	}
	if err := f.AppendConfig(ctx, "ranks.toml", []byte("[[rank]]\nname = \"bookings\"\nshare = 0.5\n")); err != nil {
		return nil, err
	}
	for i := range s.Services {
		if err := f.AppendConfig(ctx, fmt.Sprintf("service-%d.toml", i), s.serviceFile(i, n.Host.Region)); err != nil {
			return nil, err
		}
	}
	err = fleetproc.Await(ctx, "the whole configuration is in force", func() bool {
		c, err := f.Config(ctx, n)
		return err == nil && c.Revision >= int64(s.Services+1)
	})
	return n, err
}

// serviceFile returns the configuration file of one service with its share of the servers, routes and tenants.
func (s fleetSize) serviceFile(i int, region string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "[service.s%d]\nregion = %q\nfloor = 1\n", i, region)
	for k := range s.Servers / s.Services {
		fmt.Fprintf(&b, "[[service.s%d.backend-server]]\naddress = \"127.%d.%d.%d:9\"\navailability-zone = \"kz-central-%d\"\nslots = 6\nconnections = 400\n",
			i, 1+i/250, i%250, 1+k, k%4)
	}
	for k := range s.Routes / s.Services {
		fmt.Fprintf(&b, "[[route]]\nname = \"r%d-%d\"\nservice = \"s%d\"\nmethod = \"GET\"\npath-prefix = \"/s%d/%d\"\nrank = \"bookings\"\nidempotent = true\ntimeout = \"5s\"\n", i, k, i, i, k)
	}
	for k := range s.Tenants / s.Services {
		fmt.Fprintf(&b, "[tenant.t%d-%d]\ntoken-sha256 = \"%x\"\nservices = [\"s%d\"]\n", i, k, sha256.Sum256([]byte(fmt.Sprint(i, k))), i)
	}
	return []byte(b.String())
}

// readUsage reads the resource usage of the process from /proc.
func readUsage(pid int) (processUsage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return processUsage{}, eris.Wrap(err, "read CPU time")
	}
	// The second field is the process name in parentheses, which may contain spaces. User and system time are the 14th and
	// 15th fields, in clock ticks.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return processUsage{}, eris.Wrap(err, "read resident memory")
	}
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	kilobytes, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
	return processUsage{
		CPUTime: time.Duration(user+system) * time.Second / clockTicksPerSecond, ResidentBytes: kilobytes * 1024,
	}, nil
}
