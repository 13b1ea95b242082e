package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// outputFlag adds the flag that selects text, JSON or one of the additional formats of a command.
func outputFlag(cmd *kingpin.CmdClause, more ...string) *string {
	formats := append([]string{"text", "json"}, more...)
	return cmd.Flag("output", "Format of the result: "+strings.Join(formats, ", ")+".").Default("text").Enum(formats...)
}

// print writes a result as JSON, or calls text for any other format.
func (a *app) print(format string, result any, text func(io.Writer)) error {
	if format != "json" {
		text(a.out)
		return nil
	}
	enc := json.NewEncoder(a.out)
	enc.SetIndent("", "  ")
	return enc.Encode(result)
}

// columns writes rows in aligned columns. Like print in text form, it ignores errors of the output.
func columns(w io.Writer, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	_ = t.Flush()
}

// dash returns text, or "-" for an empty value.
func dash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// timeText formats a time in milliseconds since the Unix epoch.
func timeText(ms int64) string { return time.UnixMilli(ms).UTC().Format("2006-01-02T15:04:05.000Z") }
