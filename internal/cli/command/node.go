package command

import (
	"context"
	"log/slog"

	"github.com/alecthomas/kingpin/v2"

	"example.org/camphorhinge/platform"
)

// node runs an entry node or a core node on the platform's machines; the settings file determines which.
func (a *app) node(cmd *kingpin.CmdClause) func(context.Context) error {
	var path, level string
	cmd.Flag("settings", "The platform's settings file.").Envar(platform.SettingsVariable).Required().StringVar(&path)
	cmd.Flag("log-level", "Minimum level of log lines.").Default("info").EnumVar(&level, "debug", "info", "warn", "error")
	return func(ctx context.Context) error {
		var l slog.Level
		if err := l.UnmarshalText([]byte(level)); err != nil {
			return &Error{Op: "node", Kind: KindUsage, Err: err}
		}
		if err := platform.Run(ctx, path, a.out, l); err != nil {
			return startError("node", err)
		}
		return nil
	}
}
