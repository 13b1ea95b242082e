package command

import (
	"context"
	"fmt"
	"net/netip"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"example.org/camphorhinge/internal/standin/relay"
)

func (a *app) standinRelay(cmd *kingpin.CmdClause) func(context.Context) error {
	var cfg relay.Config
	cmd.Flag("control", "IP:port of the control port.").Default("127.0.0.1:0").StringVar(&cfg.Control)
	forwards := cmd.Flag("forward", "NAME, NAME=LISTEN or NAME=LISTEN=TARGET, with IP:port; may be repeated. LISTEN is "+
		"127.0.0.1:0 by default; without a TARGET connections are reset until a rule names one.").Required().Strings()
	return func(ctx context.Context) error {
		for _, text := range *forwards {
			name, rest, _ := strings.Cut(text, "=")
			listen, to, _ := strings.Cut(rest, "=")
			if listen == "" {
				listen = "127.0.0.1:0"
			}
			if name == "" {
				return &Error{Op: "standin relay", Kind: KindUsage, Err: fmt.Errorf("--forward: expected NAME=LISTEN=TARGET, got %q", text)}
			}
			cfg.Forwards = append(cfg.Forwards, relay.Forward{Name: name, Listen: listen, Target: to})
		}
		r, err := relay.New(cfg)
		if err != nil {
			return err
		}
		for _, f := range cfg.Forwards {
			fmt.Fprintf(a.out, "forward %s=%s\n", f.Name, r.Addr(f.Name))
		}
		fmt.Fprintf(a.out, "relay listens on %s\n", r.Control())
		return r.Run(ctx)
	}
}

func (a *app) standinRule(cmd *kingpin.CmdClause) func(context.Context) error {
	var rule relay.Rule
	var modes []string
	for _, m := range relay.Modes() {
		modes = append(modes, string(m))
	}
	control := cmd.Flag("relay", "Base URL of the relay's control port.").Required().String()
	source := cmd.Flag("source", "Only for connections from this IP address.").String()
	cmd.Flag("delay", "Time by which all bytes are delayed.").DurationVar(&rule.Delay)
	cmd.Flag("target", "IP:port to which new connections are forwarded.").StringVar(&rule.Target)
	cmd.Arg("mode", "How the forward handles connections: "+strings.Join(modes, ", ")+".").Required().EnumVar((*string)(&rule.Mode), modes...)
	names := cmd.Arg("forward", "Names of forwards.").Required().Strings()
	return func(ctx context.Context) error {
		if *source != "" {
			var err error
			if rule.Source, err = netip.ParseAddr(*source); err != nil {
				return &Error{Op: "standin rule", Kind: KindUsage, Err: fmt.Errorf("--source: expected an IP address, got %q", *source)}
			}
		}
		for _, name := range *names {
			if err := relay.Put(ctx, strings.TrimSuffix(*control, "/"), name, rule); err != nil {
				return err
			}
		}
		return nil
	}
}
