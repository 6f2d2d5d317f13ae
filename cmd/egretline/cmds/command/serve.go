package command

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"egretline.example/egretline/pkg/settings"
	"egretline.example/egretline/service/node"
)

// Exit codes of serve.
const (
	exitInvalidSettings subcommands.ExitStatus = 3
	exitBindFailed      subcommands.ExitStatus = 4
)

type serve struct {
	settings string
}

func (*serve) Name() string     { return "serve" }
func (*serve) Synopsis() string { return "run a node" }

func (*serve) Usage() string {
	return `serve --settings FILE:
  Run a node until SIGTERM or SIGINT, then drain it: it leaves the entry
  responses, serves for the drain grace, and finishes requests in flight.
  Exit codes: 0 drained, 1 a listener failed, 2 usage, 3 settings refused,
  4 an address could not be bound.
`
}

func (s *serve) SetFlags(f *flag.FlagSet) {
	f.StringVar(&s.settings, "settings", "", "settings file of the node (TOML)")
}

func (s *serve) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	loaded, err := settings.Load(s.settings)
	if err != nil {
		log.Error().Err(err).Msg("cannot load settings")
		return exitInvalidSettings
	}
	level, err := zerolog.ParseLevel(loaded.LogLevel)
	if err != nil {
		log.Error().Err(err).Msg("invalid log level in settings")
		return exitInvalidSettings
	}
	log = log.Level(level).With().Str("host", loaded.HostID).Logger()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	n, err := node.New(loaded, log)
	if err != nil {
		log.Error().Err(err).Msg("cannot start node")
		return exitBindFailed
	}
	if err := n.Run(ctx); err != nil {
		log.Error().Err(err).Msg("node failed")
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
