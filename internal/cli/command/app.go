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
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailure means a failure without a more specific code.
	ExitFailure = 1
	// ExitUsage means invalid arguments or settings.
	ExitUsage = 2
	// ExitRefused means that a record or request was refused; nothing was changed.
	ExitRefused = 3
	// ExitConflict means that another operator's write won.
	ExitConflict = 4
	// ExitUnavailable means that no node was available; nothing was changed.
	ExitUnavailable = 5
	// ExitUncertain means that the outcome is unknown; the same command may be repeated safely.
	ExitUncertain = 6
)

// Kind classifies an Error.
type Kind string

const (
	// KindUsage marks invalid arguments or settings.
	KindUsage Kind = "usage"
	// KindRefused marks invalid records or files.
	KindRefused Kind = "refused"
	// KindUnavailable marks an address that did not respond.
	KindUnavailable Kind = "unavailable"
	// KindUnreadable marks a file or node from which a configuration can't be read.
	KindUnreadable Kind = "unreadable"
	// KindRun marks a failure while the command runs.
	KindRun Kind = "run"
)

// Error describes a failed command.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// exitCoder is an error that determines the exit code.
type exitCoder interface{ ExitCode() int }

// app holds the commands and the streams to which they write.
type app struct {
	kingpin *kingpin.Application
	out     io.Writer
	errs    io.Writer
	// commandFuncs are the functions that run the commands, by full command name.
	commandFuncs map[string]func(context.Context) error
}

// Run parses args, runs the command that they name and returns its exit code. Results are written to out, log lines and
// errors to errs. Each flag can also be set by an environment variable CAMPHORHINGE_<COMMAND>_<FLAG>.
func Run(ctx context.Context, args []string, out, errs io.Writer) int {
	a := &app{
		kingpin: kingpin.New("camphorhinge", "A serving system for a fixed fleet of model engines and plain services."),
		out:     out, errs: errs,
		commandFuncs: map[string]func(context.Context) error{},
	}
	exit := -1
	a.kingpin.UsageWriter(errs).ErrorWriter(errs).Terminate(func(code int) {
		exit = code
		a.kingpin.UsageWriter(io.Discard) // Parse continues after --help and would print the usage again.
	})
	a.kingpin.HelpFlag.Short('h')
	a.commands()

	name, err := a.kingpin.Parse(args)
	if exit >= 0 {
		// Kingpin has printed the usage, because of a flag such as --help or because no command was given.
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

// binder adds the flags and arguments of a command and returns the function that runs it.
type binder func(*kingpin.CmdClause) func(context.Context) error

func (a *app) command(name, help string, bind binder) {
	a.bind(name, a.kingpin.Command(name, help), bind)
}

// bind registers the command with the given full name.
func (a *app) bind(name string, cmd *kingpin.CmdClause, bind binder) {
	a.commandFuncs[name] = bind(cmd)
	if cmd.GetFlag(versionFlag) != nil {
		a.commandFuncs[name] = withDefaults(cmd, a.commandFuncs[name])
	}
	// Kingpin's default names of variables omit the command, so that --node of serve, which takes a name, and --node of
	// apply, which takes a URL, would share one.
	for _, flag := range cmd.Model().Flags {
		if flag.Envar == "" {
			cmd.GetFlag(flag.Name).Envar(envar(name, flag.Name))
		}
	}
}

// versionFlag is a flag name that kingpin treats as its own flag in any command: when it is given, kingpin applies
// neither defaults nor environment variables.
const versionFlag = "version"

// withDefaults sets the flags of a command with a versionFlag that are not given to their value from the environment,
// or else to their default.
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
	var cmdErr *Error
	if errors.As(err, &cmdErr) {
		switch cmdErr.Kind {
		case KindUsage, KindUnreadable:
			return ExitUsage
		case KindRefused:
			return ExitRefused
		case KindUnavailable:
			return ExitUnavailable
		}
	}
	return ExitFailure
}
