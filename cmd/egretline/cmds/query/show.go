package query

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"

	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/service/api"
)

type show struct {
	node    string
	output  string
	service string
}

func (*show) Name() string     { return "show" }
func (*show) Synopsis() string { return "show the state of a node" }

func (*show) Usage() string {
	return `show [--node URL] [--output text|json] [--service NAME] config|services|backend-servers|peers:
  Show the configuration files, the services, the backend servers with the reason why each is in use
  or not, or the other hosts, as one node sees them.
  Exit codes: 0 shown, 2 usage, 6 node unreachable.
`
}

func (s *show) SetFlags(f *flag.FlagSet) {
	f.StringVar(&s.node, "node", defaultNode, "URL of the operator listener of a node")
	f.StringVar(&s.output, "output", outputText, "text or json")
	f.StringVar(&s.service, "service", "", "only the backend servers of this service")
}

func (s *show) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 || (s.output != outputText && s.output != outputJSON) {
		fmt.Fprint(os.Stderr, s.Usage())
		return subcommands.ExitUsageError
	}
	path := "/operator/" + f.Arg(0)
	render, known := map[string]func(io.Writer, []byte) error{
		"config":          printConfig,
		"services":        printServices,
		"backend-servers": printBackendServers,
		"peers":           printPeers,
	}[f.Arg(0)]
	if !known {
		fmt.Fprint(os.Stderr, s.Usage())
		return subcommands.ExitUsageError
	}
	if s.service != "" {
		path += "?service=" + s.service
	}
	body, err := get(ctx, s.node+path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "show:", err)
		return exitUnreachable
	}
	if s.output == outputJSON {
		render = printJSON
	}
	if err := render(os.Stdout, body); err != nil {
		fmt.Fprintln(os.Stderr, "show:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func printJSON(w io.Writer, body []byte) error {
	_, err := w.Write(body)
	return err
}

func printConfig(w io.Writer, body []byte) error {
	var m api.Config
	if err := json.Unmarshal(body, &m); err != nil {
		return err
	}
	if !m.Configured {
		_, err := fmt.Fprintln(w, "The node has no configuration and is not ready.")
		return err
	}
	err := printTable(w, "FILE\tREVISION\tBYTES", func(t io.Writer) {
		for _, f := range m.Files {
			fmt.Fprintf(t, "%s\t%d\t%d\n", f.Name, f.Revision, f.Bytes)
		}
	})
	for _, p := range m.Problems {
		fmt.Fprintln(w, fleet.Problem(p))
	}
	return err
}

func printServices(w io.Writer, body []byte) error {
	var m api.Services
	if err := json.Unmarshal(body, &m); err != nil {
		return err
	}
	return printTable(w, "SERVICE\tREGION\tIN USE\tFLOOR\tPREFERENCE\tGROUP", func(t io.Writer) {
		for _, s := range m.Services {
			fmt.Fprintf(t, "%s\t%s\t%d of %d\t%d\t%s\t%s\n",
				s.Name, s.Region, s.InUse, s.BackendServers, s.Floor, s.Preference, strings.Join(s.Group, " "))
		}
	})
}

func printBackendServers(w io.Writer, body []byte) error {
	var m api.BackendServers
	if err := json.Unmarshal(body, &m); err != nil {
		return err
	}
	return printTable(w, "SERVICE\tADDRESS\tZONE\tUSE\tOUTSTANDING\tREASON", func(t io.Writer) {
		for _, s := range m.BackendServers {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%s\n",
				s.Service, s.Address, s.AvailabilityZone, s.Use, s.Outstanding, s.Reason)
		}
	})
}

func printPeers(w io.Writer, body []byte) error {
	var m api.Peers
	if err := json.Unmarshal(body, &m); err != nil {
		return err
	}
	return printTable(w, "HOST\tZONE\tADDRESS\tLIVE\tLEAVING\tLISTED\tREVISION\tSILENT MS", func(t io.Writer) {
		for _, p := range m.Peers {
			fmt.Fprintf(t, "%s\t%s\t%s\t%t\t%t\t%t\t%d\t%d\n",
				p.HostID, p.AvailabilityZone, p.PeerAddress, p.Live, p.Leaving, p.Listed, p.Revision, p.SilentMs)
		}
	})
}

// printTable writes the header and the rows, which are tab-separated, in aligned columns.
func printTable(w io.Writer, header string, rows func(io.Writer)) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, header)
	rows(t)
	return t.Flush()
}
