package query

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/google/subcommands"

	"egretline.example/egretline/internal/http/strict"
	"egretline.example/egretline/service/api"
)

const (
	// exitEntriesRefused is the exit code if the node responded without entries.
	exitEntriesRefused subcommands.ExitStatus = 3
	entriesTimeout                            = 5 * time.Second
	maxEntriesBytes                           = 64 << 10
)

type entries struct {
	node             string
	service          string
	availabilityZone string
	token            string
	output           string
}

func (*entries) Name() string     { return "entries" }
func (*entries) Synopsis() string { return "show the nodes that a caller should use for a service" }

func (*entries) Usage() string {
	return `entries --node URL --service NAME --token TOKEN [--availability-zone NAME] [--output text|json]:
  Ask the node at its caller address for the entries of a service, in the order
  in which a caller tries them.
  Exit codes: 0 shown; 2 wrong usage; 3 the node refused; 6 node unreachable.
`
}

func (e *entries) SetFlags(f *flag.FlagSet) {
	f.StringVar(&e.node, "node", "", "URL of the caller listener of a node")
	f.StringVar(&e.service, "service", "", "service")
	f.StringVar(&e.availabilityZone, "availability-zone", "", "availability zone of the caller")
	f.StringVar(&e.token, "token", "", "bearer token of a tenant")
	f.StringVar(&e.output, "output", outputText, "text or json")
}

func (e *entries) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if e.node == "" || e.service == "" || (e.output != outputText && e.output != outputJSON) {
		fmt.Fprint(os.Stderr, e.Usage())
		return subcommands.ExitUsageError
	}
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	status, body, err := e.fetch(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "entries: the node cannot be reached:", err)
		return exitUnreachable
	}
	var list api.Entries
	if status != http.StatusOK || json.Unmarshal(body, &list) != nil {
		fmt.Fprintf(os.Stderr, "entries: the node responded with status %d: %s\n", status, body)
		return exitEntriesRefused
	}
	e.print(body, list)
	return subcommands.ExitSuccess
}

func (e *entries) fetch(ctx context.Context) (int, []byte, error) {
	values := url.Values{"service": {e.service}, "availability-zone": {e.availabilityZone}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, e.node+"/entries?"+values.Encode(), nil)
	if err != nil {
		return 0, nil, err
	}
	r.Header.Set("Authorization", "Bearer "+e.token)
	response, err := strict.NewClient(0).Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxEntriesBytes))
	return response.StatusCode, body, err
}

func (e *entries) print(body []byte, list api.Entries) {
	if e.output == outputJSON {
		fmt.Print(string(body))
		return
	}
	fmt.Printf("keep for %s\n", time.Duration(list.TimeToLiveMs)*time.Millisecond)
	for _, entry := range list.Entries {
		fmt.Printf("%s\t%s\t%s\t%s\n", entry.Address, entry.HostID, entry.AvailabilityZone, entry.KeyPrefix)
	}
}
