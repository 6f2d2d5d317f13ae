package cmds

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"

	"github.com/google/subcommands"

	"egretline.example/egretline/pkg/standin/logservice"
)

type logCommand struct {
	listen string
	faults logservice.Faults
}

func (*logCommand) Name() string     { return "log" }
func (*logCommand) Synopsis() string { return "run the append-only log service" }
func (*logCommand) Usage() string {
	return "log --listen ADDRESS [flags]:\n  Run the append-only log service. POST /faults changes its faults.\n"
}

func (l *logCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&l.listen, "listen", "127.0.0.1:7400", "IP:port to listen on")
	f.IntVar(&l.faults.RetainCount, "retain-count", 0, "records that a stream keeps; 0 keeps all")
	f.Int64Var(&l.faults.RetainMS, "retain-ms", 0, "age in ms at which records are removed; 0 keeps all")
	f.Int64Var(&l.faults.SlowMS, "slow-ms", 0, "delay of every request in ms")
}

func (l *logCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	server := &http.Server{
		Addr: l.listen, Handler: logservice.New(l.faults), ReadHeaderTimeout: readHeaderTimeout,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); err != nil && ctx.Err() == nil {
		fmt.Fprintln(os.Stderr, "log service:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
