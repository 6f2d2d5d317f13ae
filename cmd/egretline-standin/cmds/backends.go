package cmds

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"egretline.example/egretline/pkg/standin/backendservice"
)

// ListenRangeError reports a --listen value whose format is neither IP:port nor IP:first-last.
type ListenRangeError struct {
	Value string
}

func (e ListenRangeError) Error() string {
	return fmt.Sprintf("--listen %q: want IP:port or IP:first-last, for example 127.0.0.1:9001-9010", e.Value)
}

// ProfileError reports a --path value whose format is not prefix=service-time[:bytes].
type ProfileError struct {
	Value string
}

func (e ProfileError) Error() string {
	return fmt.Sprintf("--path %q: want prefix=service-time[:bytes], for example /archives=200ms:65536", e.Value)
}

type backends struct {
	addresses   []string
	profiles    []backendservice.Profile
	slots       int
	queueLength int
	probeTime   time.Duration
	seed        uint64
}

func (*backends) Name() string     { return "backends" }
func (*backends) Synopsis() string { return "run backend servers with settable gray faults" }
func (*backends) Usage() string {
	return `backends --listen IP:port[-last] [--listen ...] [--path prefix=service-time[:bytes] ...]:
  Run one backend server for each address, all in this process. POST /faults on an address sets the faults of that
  server, GET /runs lists the requests that it ran, GET /counts sums them up.
  Exit codes: 0 after SIGINT or SIGTERM, 1 if an address cannot be bound, 2 for wrong usage.
`
}

func (b *backends) SetFlags(f *flag.FlagSet) {
	f.Func("listen", "address IP:port or range IP:first-last; may be repeated", b.addListen)
	f.Func("path", "prefix=service-time[:bytes]; may be repeated, the longest prefix applies", b.addPath)
	f.IntVar(&b.slots, "slots", 6, "requests that a server runs at the same time")
	f.IntVar(&b.queueLength, "queue", 0, "requests that may wait for a slot; 0 means twice the slots")
	f.DurationVar(&b.probeTime, "probe-time", 25*time.Millisecond, "time that the health endpoint takes")
	f.Uint64Var(&b.seed, "seed", 1, "seed of the choice of requests that a fault hits")
}

func (b *backends) addListen(value string) error {
	host, ports, ok := strings.Cut(value, ":")
	if !ok {
		return ListenRangeError{Value: value}
	}
	first, last, isRange := strings.Cut(ports, "-")
	if !isRange {
		last = first
	}
	from, errFrom := strconv.ParseUint(first, 10, 16)
	to, errTo := strconv.ParseUint(last, 10, 16)
	if errFrom != nil || errTo != nil || to < from {
		return ListenRangeError{Value: value}
	}
	for port := from; port <= to; port++ {
		b.addresses = append(b.addresses, net.JoinHostPort(host, strconv.FormatUint(port, 10)))
	}
	return nil
}

func (b *backends) addPath(value string) error {
	prefix, rest, ok := strings.Cut(value, "=")
	if !ok {
		return ProfileError{Value: value}
	}
	serviceTime, size, hasSize := strings.Cut(rest, ":")
	p := backendservice.Profile{Prefix: prefix}
	var err error
	if p.ServiceTime, err = time.ParseDuration(serviceTime); err != nil {
		return ProfileError{Value: value}
	}
	if hasSize {
		if p.BodyBytes, err = strconv.Atoi(size); err != nil {
			return ProfileError{Value: value}
		}
	}
	b.profiles = append(b.profiles, p)
	return nil
}

func (b *backends) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if len(b.addresses) == 0 {
		fmt.Fprintln(os.Stderr, "backends: at least one --listen is needed")
		return subcommands.ExitUsageError
	}
	servers := make([]*http.Server, 0, len(b.addresses))
	for i, address := range b.addresses {
		handler := backendservice.New(backendservice.Settings{
			Name:      address,
			Slots:     b.slots,
			Queue:     b.queueLength,
			ProbeTime: b.probeTime,
			Profiles:  b.profiles,
			Seed:      b.seed + uint64(i),
		})
		servers = append(servers, &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: readHeaderTimeout})
	}
	return serveAll(ctx, servers)
}

// serveAll runs the servers until SIGINT or SIGTERM. It reports that it is serving once all addresses are bound.
func serveAll(ctx context.Context, servers []*http.Server) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	for _, s := range servers {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp", s.Addr)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
		go func() {
			if err := s.Serve(listener); err != nil && ctx.Err() == nil {
				fmt.Fprintln(os.Stderr, err)
			}
		}()
	}
	fmt.Println("serving", len(servers), "addresses")
	<-ctx.Done()
	for _, s := range servers {
		if err := s.Close(); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
	return subcommands.ExitSuccess
}
