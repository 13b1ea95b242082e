package command

import (
	"context"
	"errors"

	"github.com/alecthomas/kingpin/v2"

	"example.org/camphorhinge/internal/node/server"
)

func (a *app) serve(cmd *kingpin.CmdClause) func(context.Context) error {
	cfg := serveFlags(cmd)
	return func(ctx context.Context) error {
		log := logger(a.errs, cfg.LogLevel, cfg.LogFormat)
		s, err := server.New(ctx, *cfg, log, nil)
		if err != nil {
			return startError("serve", err)
		}
		return s.Run(ctx)
	}
}

// startError wraps a failure to start: as KindUsage if settings are invalid, or else as KindRun.
func startError(op string, err error) error {
	kind := KindRun
	var e *server.Error
	if errors.As(err, &e) && e.Kind == server.KindSetting {
		kind = KindUsage
	}
	return &Error{Op: op, Kind: kind, Err: err}
}
