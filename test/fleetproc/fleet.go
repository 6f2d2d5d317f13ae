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

// region of all nodes of a test fleet.
const region = "kz-central"

// StatusError reports an unexpected status of a request to a stand-in or a node.
type StatusError struct {
	URL    string
	Status int
}

func (e StatusError) Error() string {
	return fmt.Sprintf("%s responded with status %d", e.URL, e.Status)
}

// Fleet is a set of running processes. Close ends all of them.
type Fleet struct {
	// Bin holds the programs, Directory the settings and logs of this run.
	Bin       string
	Directory string
	LogURL    string
	HostsURL  string
	Nodes     []*Node
	Log       *Process
	processes []*Process
}

// Node is one node process and its addresses.
type Node struct {
	*Process
	Host     api.Host
	Operator string
}

// New starts the log and the host list and waits until both respond.
func New(ctx context.Context, bin, directory string) (*Fleet, error) {
	f := &Fleet{Bin: bin, Directory: directory}
	free, err := FreeAddresses(2)
	if err != nil {
		return nil, err
	}
	f.LogURL = "http://" + free[0]
	f.HostsURL = "http://" + free[1]
	if f.Log, err = f.Standin("log", "log", "--listen", free[0]); err != nil {
		return f, err
	}
	if _, err = f.Standin("hosts", "hosts", "--listen", free[1]); err != nil {
		return f, err
	}
	if err := f.AwaitGet(ctx, f.LogURL+"/faults"); err != nil {
		return f, err
	}
	return f, f.AwaitGet(ctx, f.HostsURL+"/hosts")
}

// Standin starts a subcommand of egretline-standin.
func (f *Fleet) Standin(name string, args ...string) (*Process, error) {
	return f.Program(name, "egretline-standin", args...)
}

// Program starts one of the built programs.
func (f *Fleet) Program(name, program string, args ...string) (*Process, error) {
	p, err := Start(f.Directory, name, filepath.Join(f.Bin, program), args...)
	if err == nil {
		f.processes = append(f.processes, p)
	}
	return p, err
}

// Backends starts backend servers on the addresses in one process.
func (f *Fleet) Backends(ctx context.Context, name string, addresses []string, args ...string) error {
	command := append([]string{"backends"}, args...)
	for _, a := range addresses {
		command = append(command, "--listen", a)
	}
	if _, err := f.Standin(name, command...); err != nil {
		return err
	}
	for _, a := range addresses {
		if err := f.AwaitGet(ctx, "http://"+a+"/counts"); err != nil {
			return err
		}
	}
	return nil
}

// StartNode starts a node and lists its host. It does not wait until the node is ready.
func (f *Fleet) StartNode(ctx context.Context, id, zone string) (*Node, error) {
	free, err := FreeAddresses(3)
	if err != nil {
		return nil, err
	}
	host := api.Host{ID: id, Region: region, AvailabilityZone: zone, CallerAddress: free[0], PeerAddress: free[1]}
	path := filepath.Join(f.Directory, id+".toml")
	if err := os.WriteFile(path, f.settings(host, free[2]), 0o600); err != nil {
		return nil, eris.Wrap(err, "write settings")
	}
	if err := f.List(ctx, host); err != nil {
		return nil, err
	}
	p, err := f.Program(id, "egretline", "serve", "--settings", path)
	if err != nil {
		return nil, err
	}
	n := &Node{Process: p, Host: host, Operator: "http://" + free[2]}
	f.Nodes = append(f.Nodes, n)
	return n, nil
}

// List puts a host on the host list.
func (f *Fleet) List(ctx context.Context, h api.Host) error {
	return f.send(ctx, http.MethodPut, f.HostsURL+"/hosts/"+h.ID, h)
}

// settings gives entry responses a short time to live, so that a test does not wait long for callers to move on.
func (f *Fleet) settings(h api.Host, operator string) []byte {
	var b bytes.Buffer
	line := func(key, value string) { fmt.Fprintf(&b, "%s = %q\n", key, value) }
	line("host-id", h.ID)
	line("region", h.Region)
	line("availability-zone", h.AvailabilityZone)
	line("caller-address", h.CallerAddress)
	line("peer-address", h.PeerAddress)
	line("operator-address", operator)
	line("log-url", f.LogURL)
	line("host-list-url", f.HostsURL)
	line("entry-ttl", "1s")
	line("drain-grace", "3s")
	return b.Bytes()
}

// Append puts a configuration file into the log without a node, under an apply ID of its own.
func (f *Fleet) Append(ctx context.Context, file string, contents []byte) error {
	record := configrecord.EncodeApply(fold.Apply{ID: "append-" + file, File: file, Contents: contents})
	return f.send(ctx, http.MethodPost, f.LogURL+"/streams/"+configcmd.ApplyStream+"/records", json.RawMessage(record))
}

// AwaitEntries waits until every node lists the nodes for the service, each with a key prefix.
func (f *Fleet) AwaitEntries(ctx context.Context, service, token string, nodes int) error {
	for _, n := range f.Nodes {
		err := Await(ctx, n.Name+" lists all entries of "+service, func() bool {
			e, err := f.Entries(ctx, n, service, n.Host.AvailabilityZone, token)
			return err == nil && complete(e, nodes)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func complete(e api.Entries, nodes int) bool {
	for _, entry := range e.Entries {
		if entry.KeyPrefix == "" {
			return false
		}
	}
	return len(e.Entries) >= nodes
}

// Entries asks the node for the entries of the service.
func (f *Fleet) Entries(ctx context.Context, n *Node, service, zone, token string) (api.Entries, error) {
	var e api.Entries
	url := "http://" + n.Host.CallerAddress + "/entries?service=" + service + "&availability-zone=" + zone
	return e, get(ctx, url, token, &e)
}

// Config returns the configuration that the node has in force.
func (f *Fleet) Config(ctx context.Context, n *Node) (api.Config, error) {
	var c api.Config
	return c, get(ctx, n.Operator+"/operator/config", "", &c)
}

// NodeAt returns the node with the caller address.
func (f *Fleet) NodeAt(address string) *Node {
	for _, n := range f.Nodes {
		if n.Host.CallerAddress == address {
			return n
		}
	}
	return nil
}

// SetFaults replaces the faults of a stand-in. The URL is that of its fault interface.
func (f *Fleet) SetFaults(ctx context.Context, url string, faults any) error {
	return f.send(ctx, http.MethodPost, url, faults)
}

// Runs returns the runs of all the backend servers.
func (f *Fleet) Runs(ctx context.Context, addresses []string) ([]backendservice.Run, error) {
	var all []backendservice.Run
	for _, a := range addresses {
		var runs []backendservice.Run
		if err := get(ctx, "http://"+a+"/runs", "", &runs); err != nil {
			return nil, err
		}
		all = append(all, runs...)
	}
	return all, nil
}

// AwaitGet waits until a GET of the URL responds with status 200.
func (f *Fleet) AwaitGet(ctx context.Context, url string) error {
	return Await(ctx, url+" responds", func() bool { return get(ctx, url, "", nil) == nil })
}

// AwaitReady waits until the node is ready for callers.
func (f *Fleet) AwaitReady(ctx context.Context, n *Node) error {
	return f.AwaitGet(ctx, n.Operator+"/readyz")
}

// Close ends all processes that are left.
func (f *Fleet) Close() {
	for _, p := range f.processes {
		p.Kill()
	}
}

func get(ctx context.Context, url, token string, into any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	return exchange(r, into)
}

func (f *Fleet) send(ctx context.Context, method, url string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "encode request")
	}
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(string(body)))
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	return exchange(r, nil)
}

func exchange(r *http.Request, into any) error {
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return eris.Wrap(err, "request "+r.URL.String())
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return StatusError{URL: r.URL.String(), Status: response.StatusCode}
	}
	if into == nil {
		return nil
	}
	return eris.Wrap(json.NewDecoder(response.Body).Decode(into), "decode "+r.URL.String())
}
