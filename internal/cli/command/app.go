package command

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
)

// Exit codes of all commands.
const (
	// ExitOK tells that the command did what it was asked.
	ExitOK = 0
	// ExitFailure tells of a failure that has no code of its own.
	ExitFailure = 1
	// ExitUsage tells of wrong arguments or settings.
	ExitUsage = 2
	// ExitRefused tells that a record or request was refused; nothing was changed.
	ExitRefused = 3
	// ExitConflict tells that another operator's write won.
	ExitConflict = 4
	// ExitUnavailable tells that no node answered; nothing was changed.
	ExitUnavailable = 5
	// ExitUncertain tells that the outcome is not known; the same command may be sent again.
	ExitUncertain = 6
)

// Kind classifies an Error.
type Kind string

const (
	// KindUsage marks wrong arguments or settings.
	KindUsage Kind = "usage"
	// KindRun marks a failure while the command ran.
	KindRun Kind = "run"
)

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// exitCoder is an error that knows the exit code it asks for.
type exitCoder interface{ ExitCode() int }

// app collects the commands and the streams that they use.
type app struct {
	kingpin *kingpin.Application
	out     io.Writer
	errs    io.Writer
	// run is the command that was chosen.
	run map[string]func(context.Context) error
}

// Run parses args, runs the command that they name and returns its exit code. Results go to out, log lines and errors to
// errs. Every flag can be set by an environment variable CAMPHORHINGE_<COMMAND>_<FLAG> as well.
func Run(ctx context.Context, args []string, out, errs io.Writer) int {
	a := &app{
		kingpin: kingpin.New("camphorhinge", "A serving system for a fixed fleet of model engines and plain services."),
		out:     out, errs: errs,
		run: map[string]func(context.Context) error{},
	}
	exit := -1
	a.kingpin.UsageWriter(errs).ErrorWriter(errs).Terminate(func(code int) { exit = code })
	a.kingpin.DefaultEnvars()
	a.kingpin.HelpFlag.Short('h')
	a.commands()

	name, err := a.kingpin.Parse(args)
	if exit >= 0 {
		return exit // --help was printed.
	}
	if err != nil {
		fmt.Fprintf(errs, "camphorhinge: %v; see --help\n", err)
		return ExitUsage
	}
	if err := a.run[name](ctx); err != nil {
		fmt.Fprintf(errs, "camphorhinge %s: %v\n", name, err)
		return exitCode(err)
	}
	return ExitOK
}

func (a *app) command(name, help string, bind func(*kingpin.CmdClause) func(context.Context) error) {
	cmd := a.kingpin.Command(name, help)
	a.run[name] = bind(cmd)
}

func exitCode(err error) int {
	var coder exitCoder
	if errors.As(err, &coder) {
		return coder.ExitCode()
	}
	var own *Error
	if errors.As(err, &own) && own.Kind == KindUsage {
		return ExitUsage
	}
	return ExitFailure
}
