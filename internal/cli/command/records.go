package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/cli/client"
	"example.org/camphorhinge/internal/node/operator"
	"example.org/camphorhinge/internal/record/schema"
	"example.org/camphorhinge/internal/record/table"
)

// formatYAML is the output format that shows documents as they were written.
const formatYAML = "yaml"

func (a *app) apply(cmd *kingpin.CmdClause) func(context.Context) error {
	conn, output := connectionFlags(cmd), outputFlag(cmd)
	dry := cmd.Flag("dry-run", "Only show what would change.").Bool()
	files := cmd.Arg("file", "YAML or JSON files with records; - for standard input.").Required().Strings()
	return func(ctx context.Context) error {
		in, err := readInput("apply", *files)
		if err != nil {
			return a.printFaults(*output, err)
		}
		c, err := conn.open()
		if err != nil {
			return err
		}
		return a.applyInput(ctx, c, "apply", *output, in, *dry)
	}
}

func (a *app) check(cmd *kingpin.CmdClause) func(context.Context) error {
	conn := &connection{nodeFlag: "against"}
	cmd.Flag("against", "URL of a node's operator port; shows what the records would change. May be repeated, nodes are tried in turn.").
		PlaceHolder("URL").StringsVar(&conn.nodes)
	conn.tokenFlags(cmd)
	output := outputFlag(cmd)
	files := cmd.Arg("file", "YAML or JSON files with records; - for standard input.").Required().Strings()
	return func(ctx context.Context) error {
		in, err := readInput("check", *files)
		if err != nil {
			return a.printFaults(*output, err)
		}
		if len(conn.nodes) > 0 {
			c, err := conn.open()
			if err != nil {
				return err
			}
			return a.applyInput(ctx, c, "check", *output, in, true)
		}
		result := checkResult{Records: make([]checkedRecord, len(in.docs))}
		for i, doc := range in.docs {
			result.Records[i] = checkedRecord{Key: doc.Key, Version: doc.Version, Schema: doc.Schema, File: in.origins[i].File, Unknown: doc.Unknown}
		}
		return a.print(*output, result, result.text)
	}
}

// checkResult lists the records that were checked and are valid.
type checkResult struct {
	Records []checkedRecord `json:"records"`
}

type checkedRecord struct {
	schema.Key
	Version camphorhinge.Version `json:"version"`
	Schema  int                  `json:"schema"`
	File    string               `json:"file"`
	Unknown []string             `json:"unknown,omitempty"`
}

func (r checkResult) text(w io.Writer) {
	for _, rec := range r.Records {
		fmt.Fprintf(w, "%s: %s version %d, schema %d: valid\n", rec.File, rec.Key, rec.Version, rec.Schema)
		showUnknown(w, rec.Unknown)
	}
}

func showUnknown(w io.Writer, fields []string) {
	for _, field := range fields {
		fmt.Fprintf(w, "  %s: field not known, kept as written\n", field)
	}
}

// printFaults writes the faults in err as JSON if that is the format, and returns err, whose message is the text form.
func (a *app) printFaults(format string, err error) error {
	var faults fileFaults
	if format != "json" || !errors.As(err, &faults) {
		return err
	}
	var body struct {
		Error struct {
			Kind    operator.Kind `json:"kind"`
			Message string        `json:"message"`
			Faults  fileFaults    `json:"faults"`
		} `json:"error"`
	}
	body.Error.Kind, body.Error.Message, body.Error.Faults = operator.KindInvalid, faults.Error(), faults
	return errors.Join(err, a.print(format, body, nil))
}

// applyInput applies the records, or with dry only requests the effect, and prints the outcome of each.
func (a *app) applyInput(ctx context.Context, c *client.Client, op, format string, in *input, dry bool) error {
	body, err := c.Apply(ctx, in.stream, dry)
	var clientErr *client.Error
	if dry && errors.As(err, &clientErr) && clientErr.Kind == client.KindUncertain {
		clientErr.Kind = client.KindUnavailable // A dry run has no effect.
	}
	if len(body.Results) == 0 {
		return a.printFaults(format, in.locateFaults(op, err))
	}
	return errors.Join(err, a.print(format, body, func(w io.Writer) { showResults(w, body) }))
}

func showResults(w io.Writer, body operator.WriteBody) {
	for _, r := range body.Results {
		fmt.Fprintf(w, "%s version %d: %s\n", r.Key, r.Version, outcomeText(r, body.Dry))
		for _, d := range r.Changes {
			fmt.Fprintf(w, "  %s: %s -> %s\n", d.Field, dash(d.From), dash(d.To))
		}
		showUnknown(w, r.Unknown)
	}
}

// outcomeText describes the outcome of the write of one record.
func outcomeText(r operator.WriteResult, dry bool) string {
	switch r.Outcome {
	case table.Accepted:
		switch {
		case r.Repeated:
			return fmt.Sprintf("accepted before, revision %d", r.Revision)
		case dry:
			return "would be accepted"
		}
		return fmt.Sprintf("accepted, revision %d", r.Revision)
	case table.Conflict:
		if r.Winner == nil {
			break
		}
		winner := "digest " + string(r.Winner.Digest)
		if r.Winner.Withdraw {
			winner = "a withdrawal"
		}
		return fmt.Sprintf("conflict with version %d (%s, revision %d, %s)", r.Winner.Version, winner, r.Winner.Revision, timeText(r.Winner.Time))
	case operator.NotTried:
		return "not tried"
	}
	if r.Message != "" {
		return string(r.Outcome) + ": " + r.Message
	}
	return string(r.Outcome)
}

// kinds returns the names of all kinds of records.
func kinds() []string {
	var names []string
	for _, k := range schema.Kinds() {
		names = append(names, string(k))
	}
	return names
}

func (a *app) withdraw(cmd *kingpin.CmdClause) func(context.Context) error {
	conn, output := connectionFlags(cmd), outputFlag(cmd)
	version := cmd.Flag("version", "Version of the withdrawal, higher than the record's.").Required().Uint64()
	kind := cmd.Arg("kind", "Kind of the record: "+strings.Join(kinds(), ", ")+".").Required().Enum(kinds()...)
	name := cmd.Arg("name", "Name of the record.").Required().String()
	return func(ctx context.Context) error {
		key := schema.Key{Kind: schema.Kind(*kind), Name: *name}
		if !schema.ValidKey(key) {
			return &Error{Op: "withdraw", Kind: KindUsage, Err: fmt.Errorf("NAME: expected the name of a record, got %q", *name)}
		}
		if *version == 0 {
			return &Error{Op: "withdraw", Kind: KindUsage, Err: errors.New("--version: expected at least 1")}
		}
		c, err := conn.open()
		if err != nil {
			return err
		}
		body, err := c.Withdraw(ctx, operator.Withdrawal{Key: key, Version: camphorhinge.Version(*version)})
		if len(body.Results) == 0 {
			return err
		}
		return errors.Join(err, a.print(*output, body, func(w io.Writer) { showResults(w, body) }))
	}
}

func (a *app) get(cmd *kingpin.CmdClause) func(context.Context) error {
	conn, output := connectionFlags(cmd), outputFlag(cmd, formatYAML)
	history := cmd.Flag("history", "Show the retained writes of the record, including withdrawals.").Bool()
	kind := cmd.Arg("kind", "Kind of records: "+strings.Join(kinds(), ", ")+".").Enum(append(kinds(), "")...)
	name := cmd.Arg("name", "Name of the record.").String()
	return func(ctx context.Context) error {
		if *history && (*name == "" || *output == formatYAML) {
			return &Error{Op: "get", Kind: KindUsage, Err: errors.New("--history: expected KIND and NAME of one record, and text or json as --output")}
		}
		c, err := conn.open()
		if err != nil {
			return err
		}
		if *name == "" {
			return a.getAll(ctx, c, schema.Kind(*kind), *output)
		}
		body, err := c.Record(ctx, schema.Key{Kind: schema.Kind(*kind), Name: *name})
		if err != nil {
			return err
		}
		if *output == formatYAML {
			if body.Withdraw {
				return &Error{Op: "get", Kind: KindRefused, Err: fmt.Errorf("%s was withdrawn by version %d", body.Key, body.Version)}
			}
			showDocument(a.out, body.Document)
			return nil
		}
		if !*history {
			body.History = nil
		}
		return a.print(*output, body, func(w io.Writer) { showRecord(w, body) })
	}
}

func (a *app) getAll(ctx context.Context, c *client.Client, kind schema.Kind, format string) error {
	list, err := c.Records(ctx, kind)
	if err != nil {
		return err
	}
	if format != formatYAML {
		return a.print(format, list, func(w io.Writer) { showRecords(w, list) })
	}
	for _, r := range list.Records {
		body, err := c.Record(ctx, r.Key)
		if err != nil {
			return err
		}
		if body.Withdraw {
			continue // The record was withdrawn after the list was read.
		}
		fmt.Fprintln(a.out, "---")
		showDocument(a.out, body.Document)
	}
	return nil
}

func showDocument(w io.Writer, document string) {
	fmt.Fprint(w, document)
	if !strings.HasSuffix(document, "\n") {
		fmt.Fprintln(w)
	}
}

func showRecords(w io.Writer, list operator.RecordsBody) {
	fmt.Fprintf(w, "revision %d, %d records\n", list.Revision, len(list.Records))
	rows := [][]string{{"KIND", "NAME", "VERSION", "REVISION", "TIME", "NOTE"}}
	for _, r := range list.Records {
		rows = append(rows, []string{
			string(r.Kind), r.Name, strconv.FormatUint(uint64(r.Version), 10), strconv.FormatUint(uint64(r.Revision), 10),
			timeText(r.Time), oneLine(r.Undecoded),
		})
	}
	columns(w, rows)
}

func showRecord(w io.Writer, r operator.RecordBody) {
	state := "in force"
	if r.Withdraw {
		state = "withdrawn"
	}
	fmt.Fprintf(w, "%s version %d: %s, revision %d, %s\n", r.Key, r.Version, state, r.Revision, timeText(r.Time))
	if r.Undecoded != "" {
		fmt.Fprintf(w, "this node can't decode it: %s\n", r.Undecoded)
	}
	if len(r.History) > 0 {
		rows := [][]string{{"VERSION", "REVISION", "TIME", "WRITE"}}
		for _, h := range r.History {
			write := "digest " + string(h.Digest)
			if h.Withdraw {
				write = "withdrawal"
			}
			rows = append(rows, []string{
				strconv.FormatUint(uint64(h.Version), 10), strconv.FormatUint(uint64(h.Revision), 10), timeText(h.Time), write,
			})
		}
		columns(w, rows)
	}
	if r.Document != "" {
		fmt.Fprintln(w)
		showDocument(w, r.Document)
	}
}

// oneLine joins the lines of a message, so that it fits a table row.
func oneLine(text string) string { return strings.ReplaceAll(text, "\n", "; ") }
