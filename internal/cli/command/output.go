package command

import (
	"encoding/json"
	"io"

	"github.com/alecthomas/kingpin/v2"
)

// outputFlag adds the flag that chooses text or JSON.
func outputFlag(cmd *kingpin.CmdClause) *string {
	return cmd.Flag("output", "Format of the result.").Default("text").Enum("text", "json")
}

// print writes a result as JSON or by its own text form.
func (a *app) print(format string, result any, text func(io.Writer)) error {
	if format != "json" {
		text(a.out)
		return nil
	}
	enc := json.NewEncoder(a.out)
	enc.SetIndent("", "  ")
	return enc.Encode(result)
}
