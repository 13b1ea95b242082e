package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

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
	// KindRefused marks records with faults.
	KindRefused Kind = "refused"
	// KindUnavailable marks an address that did not answer.
	KindUnavailable Kind = "unavailable"
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
	// commandFuncs is the command that was chosen.
	commandFuncs map[string]func(context.Context) error
}

// Run parses args, runs the command that they name and returns its exit code. Results go to out, log lines and errors to
// errs. Each flag can be set by an environment variable CAMPHORHINGE_<COMMAND>_<FLAG> as well.
func Run(ctx context.Context, args []string, out, errs io.Writer) int {
	a := &app{
		kingpin: kingpin.New("camphorhinge", "A serving system for a fixed fleet of model engines and plain services."),
		out:     out, errs: errs,
		commandFuncs: map[string]func(context.Context) error{},
	}
	exit := -1
	a.kingpin.UsageWriter(errs).ErrorWriter(errs).Terminate(func(code int) {
		exit = code
		a.kingpin.UsageWriter(io.Discard) // Parse goes on after --help and would print the usage again.
	})
	a.kingpin.HelpFlag.Short('h')
	a.commands()

	name, err := a.kingpin.Parse(args)
	if exit >= 0 {
		// The usage was printed: by --help or the like, or because there is no command.
		if errors.Is(err, kingpin.ErrCommandNotSpecified) && !slices.ContainsFunc(args, isFlag) {
			fmt.Fprintln(errs, "camphorhinge: expected a command")
			return ExitUsage
		}
		return exit
	}
	if err != nil {
		fmt.Fprintf(errs, "camphorhinge: %v; see --help\n", err)
		return ExitUsage
	}
	if err := a.commandFuncs[name](ctx); err != nil {
		fmt.Fprintf(errs, "camphorhinge %s: %v\n", name, err)
		return exitCode(err)
	}
	return ExitOK
}

func isFlag(arg string) bool { return strings.HasPrefix(arg, "-") }

// binder adds the flags and arguments of a command and returns what runs it.
type binder func(*kingpin.CmdClause) func(context.Context) error

func (a *app) command(name, help string, bind binder) {
	a.bind(name, a.kingpin.Command(name, help), bind)
}

// bind sets up the command of the given full name.
func (a *app) bind(name string, cmd *kingpin.CmdClause, bind binder) {
	a.commandFuncs[name] = bind(cmd)
	if cmd.GetFlag(versionFlag) != nil {
		a.commandFuncs[name] = withDefaults(cmd, a.commandFuncs[name])
	}
	// Kingpin's own default variables leave out the command, so that --node of serve, a name, and --node of apply, a URL,
	// would share one.
	for _, flag := range cmd.Model().Flags {
		if flag.Envar == "" {
			cmd.GetFlag(flag.Name).Envar(envar(name, flag.Name))
		}
	}
}

// versionFlag is the name that kingpin takes for its own flag wherever it is given: it then sets no default and reads no
// environment variable.
const versionFlag = "version"

// withDefaults gives the flags of a command with a versionFlag, where they are not given, their value from the environment
// or else their default.
func withDefaults(cmd *kingpin.CmdClause, run func(context.Context) error) func(context.Context) error {
	given := map[string]*bool{}
	for _, flag := range cmd.Model().Flags {
		given[flag.Name] = new(bool)
		cmd.GetFlag(flag.Name).IsSetByUser(given[flag.Name])
	}
	return func(ctx context.Context) error {
		for _, flag := range cmd.Model().Flags {
			values := flag.Default
			if text := os.Getenv(flag.Envar); text != "" {
				values = strings.Split(strings.TrimSpace(text), "\n")
			}
			for _, value := range values {
				if *given[flag.Name] {
					break
				}
				if err := flag.Value.Set(value); err != nil {
					return &Error{Op: "read settings", Kind: KindUsage, Err: fmt.Errorf("--%s: %w", flag.Name, err)}
				}
			}
		}
		return run(ctx)
	}
}

// envar returns the name of the environment variable of a flag.
func envar(command, flag string) string {
	return strings.ToUpper(strings.NewReplacer(" ", "_", "-", "_").Replace("camphorhinge_" + command + "_" + flag))
}

func exitCode(err error) int {
	var coder exitCoder
	if errors.As(err, &coder) {
		return coder.ExitCode()
	}
	var own *Error
	if errors.As(err, &own) {
		switch own.Kind {
		case KindUsage:
			return ExitUsage
		case KindRefused:
			return ExitRefused
		case KindUnavailable:
			return ExitUnavailable
		}
	}
	return ExitFailure
}
