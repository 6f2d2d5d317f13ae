package fleetproc

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"egretline.example/egretline/pkg/configcmd"
	"egretline.example/egretline/pkg/configrecord"
	"egretline.example/egretline/pkg/decide/fold"
	"egretline.example/egretline/pkg/standin/backendservice"
	"egretline.example/egretline/service/api"
)

// region is the region of all nodes of a test fleet.
const region = "kz-central"

// StatusError reports a response of a stand-in or a node with an unexpected status code.
type StatusError struct {
	URL    string
	Status int
}

func (e StatusError) Error() string {
	return fmt.Sprintf("%s responded with status %d", e.URL, e.Status)
}

// Fleet is a set of stand-in and node processes. Close ends all of them.
type Fleet struct {
	// BinDirectory contains the programs, Directory the settings and logs of this run.
	BinDirectory string
	Directory    string
	LogURL       string
	HostListURL  string
	Nodes        []*Node
	LogService   *Process
	processes    []*Process
}

// Node is one node process with its addresses.
type Node struct {
	*Process
	Host api.Host
	// OperatorURL is the URL of the operator interface.
	OperatorURL string
}

// New starts the log and the host list and waits until both respond. The caller must close the fleet after an error too.
func New(ctx context.Context, bin, directory string) (*Fleet, error) {
	f := &Fleet{BinDirectory: bin, Directory: directory}
	free, err := FreeAddresses(2)
	if err != nil {
		return f, err
	}
	f.LogURL = "http://" + free[0]
	f.HostListURL = "http://" + free[1]
	if f.LogService, err = f.StartStandin("log", "log", "--listen", free[0]); err != nil {
		return f, err
	}
	if _, err = f.StartStandin("hosts", "hosts", "--listen", free[1]); err != nil {
		return f, err
	}
	if err := f.AwaitURL(ctx, f.LogURL+"/faults"); err != nil {
		return f, err
	}
	return f, f.AwaitURL(ctx, f.HostListURL+"/hosts")
}

// StartStandin starts a subcommand of egretline-standin under the process name.
func (f *Fleet) StartStandin(name string, args ...string) (*Process, error) {
	return f.StartProgram(name, "egretline-standin", args...)
}

// StartProgram starts one of the built programs under the process name.
func (f *Fleet) StartProgram(name, program string, args ...string) (*Process, error) {
	p, err := Start(f.Directory, name, filepath.Join(f.BinDirectory, program), args...)
	if err == nil {
		f.processes = append(f.processes, p)
	}
	return p, err
}

// StartBackends starts one process that serves a backend server on each address, and waits until all respond.
func (f *Fleet) StartBackends(ctx context.Context, name string, addresses []string, args ...string) error {
	command := append([]string{"backends"}, args...)
	for _, a := range addresses {
		command = append(command, "--listen", a)
	}
	if _, err := f.StartStandin(name, command...); err != nil {
		return err
	}
	for _, a := range addresses {
		if err := f.AwaitURL(ctx, "http://"+a+"/counts"); err != nil {
			return err
		}
	}
	return nil
}

// StartNode puts a new host on the host list and starts its node. It does not wait until the node is ready.
func (f *Fleet) StartNode(ctx context.Context, id, zone string) (*Node, error) {
	free, err := FreeAddresses(3)
	if err != nil {
		return nil, err
	}
	host := api.Host{ID: id, Region: region, AvailabilityZone: zone, CallerAddress: free[0], PeerAddress: free[1]}
	path := filepath.Join(f.Directory, id+".toml")
	if err := os.WriteFile(path, f.nodeSettings(host, free[2]), 0o600); err != nil {
		return nil, eris.Wrap(err, "write node settings")
	}
	if err := f.ListHost(ctx, host); err != nil {
		return nil, err
	}
	p, err := f.StartProgram(id, "egretline", "serve", "--settings", path)
	if err != nil {
		return nil, err
	}
	n := &Node{Process: p, Host: host, OperatorURL: "http://" + free[2]}
	f.Nodes = append(f.Nodes, n)
	return n, nil
}

// ListHost puts a host on the host list.
func (f *Fleet) ListHost(ctx context.Context, h api.Host) error {
	return f.sendJSON(ctx, http.MethodPut, f.HostListURL+"/hosts/"+h.ID, h)
}

// nodeSettings returns the settings file of a node. A short entry-ttl makes callers switch quickly to other nodes.
func (f *Fleet) nodeSettings(h api.Host, operator string) []byte {
	var b bytes.Buffer
	line := func(key, value string) { fmt.Fprintf(&b, "%s = %q\n", key, value) }
	line("host-id", h.ID)
	line("region", h.Region)
	line("availability-zone", h.AvailabilityZone)
	line("caller-address", h.CallerAddress)
	line("peer-address", h.PeerAddress)
	line("operator-address", operator)
	line("log-url", f.LogURL)
	line("host-list-url", f.HostListURL)
	line("entry-ttl", "1s")
	line("drain-grace", "3s")
	return b.Bytes()
}

// AppendConfig writes a configuration file directly to the log, with an apply ID derived from the file name.
func (f *Fleet) AppendConfig(ctx context.Context, file string, contents []byte) error {
	record := configrecord.EncodeApply(fold.Apply{ID: "append-" + file, File: file, Contents: contents})
	return f.sendJSON(ctx, http.MethodPost, f.LogURL+"/streams/"+configcmd.ApplyStream+"/records", json.RawMessage(record))
}

// AwaitEntries waits until every node lists at least the given number of entries for the service, each with a key prefix.
func (f *Fleet) AwaitEntries(ctx context.Context, service, token string, nodes int) error {
	for _, n := range f.Nodes {
		err := Await(ctx, n.Name+" lists all entries for service "+service, func() bool {
			e, err := f.Entries(ctx, n, service, n.Host.AvailabilityZone, token)
			return err == nil && hasCompleteEntries(e, nodes)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// hasCompleteEntries reports whether there are at least the given number of entries and all have a key prefix.
func hasCompleteEntries(e api.Entries, nodes int) bool {
	for _, entry := range e.Entries {
		if entry.KeyPrefix == "" {
			return false
		}
	}
	return len(e.Entries) >= nodes
}

// Entries returns the node's entries for the service and availability zone.
func (f *Fleet) Entries(ctx context.Context, n *Node, service, zone, token string) (api.Entries, error) {
	var e api.Entries
	url := "http://" + n.Host.CallerAddress + "/entries?service=" + service + "&availability-zone=" + zone
	return e, getJSON(ctx, url, token, &e)
}

// Config returns the configuration that the node has in force.
func (f *Fleet) Config(ctx context.Context, n *Node) (api.Config, error) {
	var c api.Config
	return c, getJSON(ctx, n.OperatorURL+"/operator/config", "", &c)
}

// NodeAt returns the node with the caller address, or nil.
func (f *Fleet) NodeAt(address string) *Node {
	for _, n := range f.Nodes {
		if n.Host.CallerAddress == address {
			return n
		}
	}
	return nil
}

// SetFaults replaces the faults of a stand-in through the URL of its fault interface.
func (f *Fleet) SetFaults(ctx context.Context, url string, faults any) error {
	return f.sendJSON(ctx, http.MethodPost, url, faults)
}

// Runs returns the requests that the backend servers at the addresses ran.
func (f *Fleet) Runs(ctx context.Context, addresses []string) ([]backendservice.Run, error) {
	var all []backendservice.Run
	for _, a := range addresses {
		var runs []backendservice.Run
		if err := getJSON(ctx, "http://"+a+"/runs", "", &runs); err != nil {
			return nil, err
		}
		all = append(all, runs...)
	}
	return all, nil
}

// AwaitURL waits until a GET request for the URL gets a 2xx status.
func (f *Fleet) AwaitURL(ctx context.Context, url string) error {
	return Await(ctx, url+" responds", func() bool { return getJSON(ctx, url, "", nil) == nil })
}

// AwaitReady waits until the node reports that it is ready for callers.
func (f *Fleet) AwaitReady(ctx context.Context, n *Node) error {
	return f.AwaitURL(ctx, n.OperatorURL+"/readyz")
}

// Close kills all processes that still run.
func (f *Fleet) Close() {
	for _, p := range f.processes {
		p.Kill()
	}
}

// getJSON sends a GET request, with the bearer token if there is one, and decodes the response if into is not nil.
func getJSON(ctx context.Context, url, token string, into any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	return doRequest(r, into)
}

func (f *Fleet) sendJSON(ctx context.Context, method, url string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "encode request")
	}
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(string(body)))
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	return doRequest(r, nil)
}

func doRequest(r *http.Request, into any) error {
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return eris.Wrap(err, "send request to "+r.URL.String())
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return StatusError{URL: r.URL.String(), Status: response.StatusCode}
	}
	if into == nil {
		return nil
	}
	return eris.Wrap(json.NewDecoder(response.Body).Decode(into), "decode response of "+r.URL.String())
}
