package command

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/operator"
)

func (a *app) explain(cmd *kingpin.CmdClause) func(context.Context) error {
	conn, output := connectionFlags(cmd), outputFlag(cmd)
	kind := cmd.Flag("kind", "Only decisions of this kind: route, refuse, retry, order, role, quarantine, config, member.").PlaceHolder("KIND").
		Enum("", "route", "refuse", "retry", "order", "role", "quarantine", "config", "member")
	limit := cmd.Flag("limit", "Maximum number of decisions; the latest are shown.").Default(strconv.Itoa(operator.DefaultExplain)).Int()
	subject := cmd.Arg("subject", "Only decisions whose subject (a request, target or record) contains this text.").String()
	return func(ctx context.Context) error {
		if *limit < 1 || *limit > operator.MaxExplain {
			return &Error{Op: "explain", Kind: KindUsage, Err: fmt.Errorf("--limit: expected 1 to %d, got %d", operator.MaxExplain, *limit)}
		}
		c, err := conn.open()
		if err != nil {
			return err
		}
		body, err := c.Explain(ctx, operator.Query{Kind: *kind, Subject: *subject, Limit: *limit})
		if err != nil {
			return err
		}
		return a.print(*output, body, func(w io.Writer) { showDecisions(w, body.Decisions) })
	}
}

func showDecisions(w io.Writer, list []camphorhinge.Decision) {
	for _, d := range list {
		fmt.Fprintf(w, "%s %s %s: %s\n", timeText(d.At), d.Kind, d.Subject, d.Reason)
		for _, name := range slices.Sorted(maps.Keys(d.Inputs)) {
			fmt.Fprintf(w, "  %s: %s\n", name, d.Inputs[name])
		}
	}
}
