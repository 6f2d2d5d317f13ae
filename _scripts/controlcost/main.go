// Command controlcost measures what one idle node process spends on control at a given size of the fleet. The other hosts
// are entries of the host list that share one peer address, where a small server accepts heartbeats.
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

// ticksPerSecond is the unit of processor time in /proc on Linux.
const ticksPerSecond = 100

// size is the size of the fleet and of its configuration.
type size struct {
	Hosts    int
	Services int
	Servers  int
	Routes   int
	Tenants  int
}

// usage is what a process has used so far.
type usage struct {
	Processor time.Duration
	Resident  int64
}

func main() {
	var s size
	flag.IntVar(&s.Hosts, "hosts", 44, "hosts on the host list")
	flag.IntVar(&s.Services, "services", 3, "services, one configuration file each")
	flag.IntVar(&s.Servers, "servers", 36, "backend servers of all services")
	flag.IntVar(&s.Routes, "routes", 30, "routes of all services")
	flag.IntVar(&s.Tenants, "tenants", 100, "tenants of all services")
	profile := flag.String("profile", "", "file for a processor profile of the node, taken after the measurement")
	window := flag.Duration("window", 20*time.Second, "time over which processor time is measured")
	flag.Parse()
	if err := run(s, *window, *profile); err != nil {
		fmt.Fprintln(os.Stderr, "controlcost:", err)
		os.Exit(1)
	}
}

func run(s size, window time.Duration, profile string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*window+2*time.Minute)
	defer cancel()
	directory, err := os.MkdirTemp("", "egretline-controlcost-")
	if err != nil {
		return eris.Wrap(err, "create directory")
	}
	defer os.RemoveAll(directory) //nolint:errcheck // only scratch files
	if err := fleetproc.Build(ctx, ".", directory); err != nil {
		return err
	}
	f, err := fleetproc.New(ctx, directory, directory)
	if err != nil {
		f.Close()
		return err
	}
	defer f.Close()
	var heartbeats atomic.Int64
	peers := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		heartbeats.Add(1)
		w.WriteHeader(http.StatusNoContent)
	}))
	defer peers.Close()
	n, err := prepare(ctx, f, s, strings.TrimPrefix(peers.URL, "http://"))
	if err != nil {
		return err
	}
	before, err := read(n.PID())
	if err != nil {
		return err
	}
	sent := heartbeats.Load()
	timer := time.NewTimer(window)
	<-timer.C
	after, err := read(n.PID())
	if err != nil {
		return err
	}
	share := 100 * (after.Processor - before.Processor).Seconds() / window.Seconds()
	fmt.Printf("hosts=%d services=%d servers=%d routes=%d tenants=%d: %.2f%% of a core, %.1f MB resident, %.1f messages to peers a second\n",
		s.Hosts, s.Services, s.Servers, s.Routes, s.Tenants, share, float64(after.Resident)/1e6,
		float64(heartbeats.Load()-sent)/window.Seconds())
	if profile == "" {
		return nil
	}
	return save(ctx, fmt.Sprintf("%s/debug/pprof/profile?seconds=%.0f", n.Operator, window.Seconds()), profile)
}

// save writes the response of the URL to the file.
func save(ctx context.Context, url, path string) error {
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

// prepare starts one node, lists the other hosts, and puts the configuration in force.
func prepare(ctx context.Context, f *fleetproc.Fleet, s size, peers string) (*fleetproc.Node, error) {
	n, err := f.StartNode(ctx, "node-0", "kz-central-0")
	if err != nil {
		return nil, err
	}
	for i := 1; i < s.Hosts; i++ {
		h := api.Host{
			ID: fmt.Sprint("node-", i), Region: n.Host.Region, AvailabilityZone: fmt.Sprint("kz-central-", i%4),
			CallerAddress: peers, PeerAddress: peers,
		}
		if err := f.List(ctx, h); err != nil {
			return nil, err
		}
	}
	if err := f.Append(ctx, "ranks.toml", []byte("[[rank]]\nname = \"bookings\"\nshare = 0.5\n")); err != nil {
		return nil, err
	}
	for i := range s.Services {
		if err := f.Append(ctx, fmt.Sprintf("service-%d.toml", i), s.file(i, n.Host.Region)); err != nil {
			return nil, err
		}
	}
	err = fleetproc.Await(ctx, "the whole configuration is in force", func() bool {
		c, err := f.Config(ctx, n)
		return err == nil && c.Revision >= int64(s.Services+1)
	})
	return n, err
}

// file is the configuration file of one service with its part of the servers, routes and tenants.
func (s size) file(i int, region string) []byte {
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

func read(pid int) (usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, eris.Wrap(err, "read processor time")
	}
	// The second field is the name in parentheses; user and system time are the 14th and 15th, in ticks.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return usage{}, eris.Wrap(err, "read resident memory")
	}
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	kilobytes, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
	return usage{
		Processor: time.Duration(user+system) * time.Second / ticksPerSecond, Resident: kilobytes * 1024,
	}, nil
}
