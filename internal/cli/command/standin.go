package command

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/standin/engine"
	"example.org/camphorhinge/internal/standin/fleet"
	"example.org/camphorhinge/internal/standin/load"
	"example.org/camphorhinge/internal/standin/service"
)

// splitNames splits a comma-separated list into names; empty elements are dropped.
func splitNames[T ~string](list string) []T {
	var names []T
	for _, s := range strings.Split(list, ",") {
		if s = strings.TrimSpace(s); s != "" {
			names = append(names, T(s))
		}
	}
	return names
}

// targetFlags adds the flags that the stand-ins of engines and plain services share, and returns the value of --leave.
func targetFlags(
	cmd *kingpin.CmdClause, name *camphorhinge.TargetName, service *camphorhinge.ServiceName, zone *camphorhinge.Zone,
	listen, advertise *string, announce *[]string,
) *time.Duration {
	cmd.Flag("name", "Name of the target.").Required().StringVar((*string)(name))
	cmd.Flag("service", "Service that it belongs to.").Required().StringVar((*string)(service))
	cmd.Flag("zone", "Availability zone.").Default("zone-a").StringVar((*string)(zone))
	cmd.Flag("listen", "IP:port to listen on.").Default("127.0.0.1:0").StringVar(listen)
	cmd.Flag("advertise", "IP:port to announce; that of --listen by default.").StringVar(advertise)
	cmd.Flag("announce", "Base URL of a node's target port; may be repeated.").Required().StringsVar(announce)
	return leaveFlag(cmd)
}

func (a *app) standinEngine(cmd *kingpin.CmdClause) func(context.Context) error {
	var cfg engine.Config
	var models, adapters string
	leave := targetFlags(cmd, &cfg.Name, &cfg.Service, &cfg.Zone, &cfg.Listen, &cfg.Advertise, &cfg.Announce)
	cmd.Flag("role", "Role at the start.").Default("mixed").EnumVar((*string)(&cfg.Role), "mixed", "prefill", "decode")
	cmd.Flag("models", "Models loaded at the start, separated by commas.").StringVar(&models)
	cmd.Flag("adapters", "Adapters loaded at the start, separated by commas.").StringVar(&adapters)
	cmd.Flag("fencing", "Whether orders with an old fencing token are refused.").Default("checked").
		EnumVar((*string)(&cfg.Fencing), "checked", "ignored")
	cmd.Flag("orders", "Precondition that the engine supports on orders.").Default("plain").
		EnumVar((*string)(&cfg.Orders), "plain", "twostep", "conditional")
	cmd.Flag("prefill-rate", "Prompt tokens per second; 20,000 by default.").Float64Var(&cfg.PrefillRate)
	cmd.Flag("token-time", "Time of one output token at batch size 1; 10ms by default.").DurationVar(&cfg.TokenTime)
	cmd.Flag("change-time", "Time of a role change; 2s by default.").DurationVar(&cfg.ChangeTime)
	cmd.Flag("load-time", "Time to load a model or adapter; 1s by default.").DurationVar(&cfg.LoadTime)
	cmd.Flag("load-lag", "Minimum age of a load report.").DurationVar(&cfg.LoadLag)
	cmd.Flag("cache-loss", "Fraction of cache events that are never sent, from 0 to 1.").Float64Var(&cfg.CacheLoss)
	cmd.Flag("crash-on", "Crash on a prompt that contains this text.").StringVar(&cfg.CrashOn)
	cmd.Flag("max-batch", "Maximum number of sequences in a batch; 32 by default.").IntVar(&cfg.MaxBatch)
	cmd.Flag("seed", "Seed of lost cache events and nonces.").Uint64Var(&cfg.Seed)
	return func(ctx context.Context) error {
		cfg.Models = splitNames[camphorhinge.ModelName](models)
		cfg.Adapters = splitNames[camphorhinge.AdapterName](adapters)
		e, err := engine.New(cfg)
		if err != nil {
			return err
		}
		fmt.Fprintf(a.out, "engine %s listens on %s\n", cfg.Name, e.ListenAddr())
		return runTarget(ctx, e, *leave)
	}
}

func (a *app) standinService(cmd *kingpin.CmdClause) func(context.Context) error {
	var cfg service.Config
	leave := targetFlags(cmd, &cfg.Name, &cfg.Service, &cfg.Zone, &cfg.Listen, &cfg.Advertise, &cfg.Announce)
	cmd.Flag("delay", "Time of one request.").DurationVar(&cfg.Delay)
	return func(ctx context.Context) error {
		s, err := service.New(cfg)
		if err != nil {
			return err
		}
		fmt.Fprintf(a.out, "service %s listens on %s\n", cfg.Name, s.ListenAddr())
		return runTarget(ctx, s, *leave)
	}
}

func (a *app) standinFleet(cmd *kingpin.CmdClause) func(context.Context) error {
	var cfg fleet.Config
	cmd.Flag("service", "Service that the engines belong to.").Required().StringVar((*string)(&cfg.Service))
	cmd.Flag("model", "Model that they announce.").Required().StringVar((*string)(&cfg.Model))
	cmd.Flag("zones", "Availability zones that they are spread over.").Default("zone-a").StringsVar(&cfg.Zones)
	cmd.Flag("announce", "Base URL of a node's target port; may be repeated, each engine announces to one.").Required().StringsVar(&cfg.Announce)
	cmd.Flag("targets", "Number of engines.").Default("10").IntVar(&cfg.Targets)
	return func(ctx context.Context) error {
		f, err := fleet.New(cfg)
		if err != nil {
			return &Error{Op: "standin fleet", Kind: KindUsage, Err: err}
		}
		fmt.Fprintf(a.out, "fleet of %d engines announces\n", cfg.Targets)
		return f.Run(ctx)
	}
}

func (a *app) load(cmd *kingpin.CmdClause) func(context.Context) error {
	var cfg load.Config
	output := outputFlag(cmd)
	cmd.Flag("nodes", "Base URL of a caller port; may be repeated.").Required().StringsVar(&cfg.Nodes)
	cmd.Flag("requests", "Number of requests.").Default("100").IntVar(&cfg.Requests)
	cmd.Flag("workers", "Number of concurrent requests.").Default("8").IntVar(&cfg.Workers)
	cmd.Flag("rate", "Requests per second; 0 for as many as the workers can send.").Float64Var(&cfg.Rate)
	cmd.Flag("model", "Model of completion requests.").StringVar(&cfg.Model)
	cmd.Flag("words", "Number of words in each prompt.").Default("64").IntVar(&cfg.Words)
	cmd.Flag("tokens", "Number of output tokens of each completion.").Default("32").IntVar(&cfg.Output)
	cmd.Flag("deposit", "Path of non-idempotent requests.").StringVar(&cfg.Deposit)
	cmd.Flag("get", "Path of idempotent requests of a plain service, in place of completions.").StringVar(&cfg.Get)
	cmd.Flag("direct", "Base URL of a target to which one request in eight goes without a node.").StringVar(&cfg.Direct)
	cmd.Flag("key", "API key.").StringVar(&cfg.Key)
	cmd.Flag("counters", "Base URL of a stand-in service to compare with; may be repeated.").StringsVar(&cfg.Counters)
	cmd.Flag("allow-cuts", "Don't fail on cut connections, for runs in which nodes are killed.").BoolVar(&cfg.AllowCuts)
	cmd.Flag("all-complete", "Fail unless every request completes, for runs without an unplanned fault.").BoolVar(&cfg.AllComplete)
	cmd.Flag("settle", "Time for which a caller resends a deposit of unknown outcome.").Default("30s").DurationVar(&cfg.Settle)
	cmd.Flag("seed", "Seed of prompts and keys.").Default("1").Uint64Var(&cfg.Seed)
	return func(ctx context.Context) error {
		if cfg.Model == "" && cfg.Deposit == "" && cfg.Get == "" {
			return &Error{Op: "load", Kind: KindUsage, Err: fmt.Errorf("expected --model, --deposit or --get")}
		}
		if cfg.Model != "" && cfg.Get != "" {
			return &Error{Op: "load", Kind: KindUsage, Err: fmt.Errorf("--get: contradicts --model")}
		}
		started := time.Now()
		report, err := load.Run(ctx, cfg)
		if err != nil {
			return err
		}
		if err := a.print(*output, report, report.Print); err != nil {
			return err
		}
		if report.Failed(cfg) {
			return &Error{Op: "load", Kind: KindRun, Err: fmt.Errorf("the run violated a guarantee within %v", time.Since(started).Round(time.Second))}
		}
		return nil
	}
}
