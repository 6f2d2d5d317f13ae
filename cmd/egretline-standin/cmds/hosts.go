package cmds

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"

	"egretline.example/egretline/pkg/standin/hostservice"
	"egretline.example/egretline/service/api"
)

type hosts struct {
	listen string
	file   string
	lag    time.Duration
}

func (*hosts) Name() string     { return "hosts" }
func (*hosts) Synopsis() string { return "run a host list" }
func (*hosts) Usage() string {
	return "hosts --listen IP:PORT [--file FILE] [--lag DURATION]:\n" +
		"  Serve GET /hosts, PUT /hosts/{id} and DELETE /hosts/{id}.\n"
}

func (h *hosts) SetFlags(f *flag.FlagSet) {
	f.StringVar(&h.listen, "listen", "127.0.0.1:9200", "`address` to listen on")
	f.StringVar(&h.file, "file", "", "JSON `file` with the initial list, in the form of GET /hosts")
	f.DurationVar(&h.lag, "lag", 0, "how long changes take to show up")
}

func (h *hosts) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if err := h.serve(); err != nil {
		fmt.Fprintln(os.Stderr, "hosts:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (h *hosts) serve() error {
	var list api.HostList
	if h.file != "" {
		contents, err := os.ReadFile(h.file)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(contents, &list); err != nil {
			return err
		}
	}
	service := hostservice.New(list)
	service.SetLag(h.lag)
	l, err := net.Listen("tcp", h.listen)
	if err != nil {
		return err
	}
	fmt.Println("listening on", l.Addr())
	server := &http.Server{Handler: service, ReadHeaderTimeout: readHeaderTimeout}
	return server.Serve(l)
}
