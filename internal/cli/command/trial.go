package command

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"example.org/camphorhinge/internal/fleet/role/trial"
)

func (a *app) trial(cmd *kingpin.CmdClause) func(context.Context) error {
	plot := cmd.Flag("plot", "File to write a plot to, as .png or .svg.").String()
	return func(context.Context) error {
		return trial.Run(a.out, *plot)
	}
}
