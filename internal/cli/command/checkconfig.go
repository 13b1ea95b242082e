package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"example.org/camphorhinge/internal/record/inspect"
	"example.org/camphorhinge/internal/record/routing"
	"example.org/camphorhinge/platform"
)

const (
	// describeTimeout bounds the request for the configuration in force; a core node responds within 900 ms.
	describeTimeout = 5 * time.Second
	// maxConfigBytes bounds the size of a configuration that is read from a node.
	maxConfigBytes = 64 << 20
)

// checkConfig checks a routing configuration and compares it with the version in force.
func (a *app) checkConfig(cmd *kingpin.CmdClause) func(context.Context) error {
	path := cmd.Arg("file", "Routing configuration as the operator sends it.").Required().String()
	against := cmd.Flag("against", "File with the version in force; shows the differences from it.").PlaceHolder("FILE").String()
	node := cmd.Flag("node", "URL of a core node's control port; shows the differences from the version in force there.").PlaceHolder("URL").String()
	output := outputFlag(cmd)
	return func(ctx context.Context) error {
		if *against != "" && *node != "" {
			return &Error{Op: "check configuration", Kind: KindUsage, Err: errors.New("expected at most one of --against and --node")}
		}
		document, err := os.ReadFile(*path)
		if err != nil {
			return unreadable(err)
		}
		base, baseErr := baseConfig(ctx, *against, *node)
		report := platform.CheckManifest(document, base)
		if err := a.print(*output, report, func(w io.Writer) { showConfigReport(w, *path, report) }); err != nil {
			return err
		}
		if !report.Valid {
			err := fmt.Errorf("%s: invalid: number of errors: %d", *path, len(report.Errors))
			return errors.Join(&Error{Op: "check configuration", Kind: KindRun, Err: err}, baseErr)
		}
		return baseErr
	}
}

func unreadable(err error) error {
	return &Error{Op: "read configuration", Kind: KindUnreadable, Err: err}
}

// baseConfig returns the version in force from a file or a core node, or nil if neither is given.
func baseConfig(ctx context.Context, path, node string) (*routing.Config, error) {
	var document []byte
	var err error
	source := path
	switch {
	case path != "":
		document, err = os.ReadFile(path)
	case node != "":
		address, ok := hostPort(node)
		if !ok {
			return nil, &Error{Op: "read configuration", Kind: KindUsage, Err: fmt.Errorf("--node: expected http://IP:PORT, got %q", node)}
		}
		source = address
		document, err = fetchConfig(ctx, address)
	default:
		return nil, nil
	}
	if err != nil {
		return nil, unreadable(err)
	}
	c, err := platform.DecodeManifest(document)
	if err != nil {
		return nil, unreadable(fmt.Errorf("version in force from %s: %w", source, err))
	}
	return c, nil
}

// fetchConfig requests the configuration in force from the control port of a core node.
func fetchConfig(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, describeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+platform.DescribePath, http.NoBody)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	document, err := io.ReadAll(io.LimitReader(resp.Body, maxConfigBytes+1))
	switch {
	case err != nil:
		return nil, err
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("%s: status %d", address, resp.StatusCode)
	case len(document) > maxConfigBytes:
		return nil, fmt.Errorf("%s: configuration of more than %d bytes", address, maxConfigBytes)
	}
	return document, nil
}

func showConfigReport(w io.Writer, path string, r *platform.ConfigReport) {
	if !r.Valid {
		fmt.Fprintf(w, "%s: invalid\n", path)
		for _, text := range r.Errors {
			fmt.Fprintf(w, "  error: %s\n", text)
		}
		return
	}
	fmt.Fprintf(w, "%s: version %d: valid\n", path, r.Version)
	for _, x := range r.Warnings {
		fmt.Fprintf(w, "  warning: %s: %s\n", located(x.Path, x.Name), x.Message)
	}
	if r.Base == 0 {
		return
	}
	fmt.Fprintf(w, "differences from version %d: %d\n", r.Base, len(r.Changes))
	for _, x := range r.Changes {
		fmt.Fprintf(w, "  %s %s: %s\n", x.Section, located(x.Path, x.Name), changeText(&x))
	}
}

// located returns a path with the name of its element, if it has one.
func located(path, name string) string {
	if name == "" {
		return path
	}
	return fmt.Sprintf("%s (%s)", path, name)
}

func changeText(x *platform.ConfigChange) string {
	text := string(x.Action)
	if x.Action == inspect.ActionChanged && x.From != x.To {
		text = fmt.Sprintf("changed from %s to %s", dash(x.From), dash(x.To))
	}
	if x.KeysAdded+x.KeysRemoved > 0 {
		text += fmt.Sprintf(", keys added: %d, keys removed: %d", x.KeysAdded, x.KeysRemoved)
	}
	return text
}
