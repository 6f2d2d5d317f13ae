package cmds

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"

	"github.com/google/subcommands"

	"egretline.example/egretline/pkg/standin/relay"
)

// LinkError reports a --link value whose format is not name=listen>target.
type LinkError struct {
	Value string
}

func (e LinkError) Error() string {
	return fmt.Sprintf("--link %q: want name=IP:port>IP:port, for example b1=127.0.0.1:9501>127.0.0.1:9001", e.Value)
}

// linkSpec is a parsed --link value: a named relay that forwards connections from Listen to Target.
type linkSpec struct {
	Name   string
	Listen string
	Target string
}

type relayCommand struct {
	control string
	links   []linkSpec
}

func (*relayCommand) Name() string     { return "relay" }
func (*relayCommand) Synopsis() string { return "relay TCP connections that can be cut or delayed" }
func (*relayCommand) Usage() string {
	return `relay --control IP:port --link name=IP:port>IP:port [--link ...]:
  Relay connections from the first address of each link to the second. GET /relays on the control address lists the
  links, POST /relays/{name} sets cut-to-target, cut-to-client, delay-ms and refuse of one.
  Exit codes: 0 after SIGINT or SIGTERM, 1 if an address cannot be bound, 2 for wrong usage.
`
}

func (c *relayCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.control, "control", "", "address of the control interface")
	f.Func("link", "name=listen>target; may be repeated", c.addLink)
}

func (c *relayCommand) addLink(value string) error {
	name, addresses, named := strings.Cut(value, "=")
	listen, target, complete := strings.Cut(addresses, ">")
	if !named || !complete {
		return LinkError{Value: value}
	}
	c.links = append(c.links, linkSpec{Name: name, Listen: listen, Target: target})
	return nil
}

func (c *relayCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.control == "" || len(c.links) == 0 {
		fmt.Fprintln(os.Stderr, "relay: --control and at least one --link are needed")
		return subcommands.ExitUsageError
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	relays := map[string]*relay.Relay{}
	for _, l := range c.links {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp", l.Listen)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
		r := relay.New(l.Target)
		relays[l.Name] = r
		go func() {
			if err := r.Serve(ctx, listener); err != nil {
				fmt.Fprintln(os.Stderr, err)
			}
		}()
	}
	return serveAll(ctx, []*http.Server{{
		Addr:              c.control,
		Handler:           relay.Control{Relays: relays},
		ReadHeaderTimeout: readHeaderTimeout,
	}})
}
