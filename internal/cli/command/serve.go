package command

import (
	"io"
	"log/slog"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"example.org/camphorhinge/internal/node/config"
	"example.org/camphorhinge/internal/node/setting"
	"example.org/camphorhinge/internal/record/schema"
	"example.org/camphorhinge/internal/request/buffer"
)

const (
	defaultStopDelay = 3 * time.Second
	// defaultStopLimit is the longest deadline of a request, so that a planned stop interrupts no request.
	defaultStopLimit      = schema.MaxDeadline
	defaultClaimRetention = 24 * time.Hour
	// defaultBodyBytes holds 32 bodies of the greatest size.
	defaultBodyBytes = 512 << 20
	// defaultAnswerBytes holds 32 buffered answers of the greatest size, defaultHeaderBytes 512 headers of the greatest size.
	defaultAnswerBytes = 512 << 20
	defaultHeaderBytes = 128 << 20
	// defaultWeightRate bounds the loading of model weights in the whole fleet, in bytes per second, and
	// defaultWeightLoads the number of concurrent loads.
	defaultWeightRate  = 1 << 30
	defaultWeightLoads = 2
)

// serveFlags binds the settings of serve to flags; bind adds their environment variables.
func serveFlags(cmd *kingpin.CmdClause) *setting.Serve {
	s := &setting.Serve{}
	cmd.Flag("node", "Name of this node, stable across restarts.").StringVar((*string)(&s.Node))
	cmd.Flag("zone", "Availability zone of this VM.").StringVar((*string)(&s.Zone))
	cmd.Flag("caller-listen", "IP:port for callers and the balancer.").Default("127.0.0.1:8080").StringVar(&s.CallerListen)
	cmd.Flag("target-listen", "IP:port at which targets announce themselves.").Default("127.0.0.1:8081").StringVar(&s.TargetListen)
	cmd.Flag("operator-listen", "IP:port for the operator and /metrics.").Default("127.0.0.1:8082").StringVar(&s.OperatorListen)
	cmd.Flag("peer-listen", "IP:port for other nodes.").Default("127.0.0.1:8083").StringVar(&s.PeerListen)
	cmd.Flag("peer-address", "IP:port at which other nodes reach --peer-listen.").StringVar(&s.PeerAddress)
	cmd.Flag("peer-source", "IP address of this VM that connections to other nodes come from.").StringVar(&s.PeerSource)
	cmd.Flag("data", "Data folder; with it the node holds a replica of the durable state.").StringVar(&s.Data)
	cmd.Flag("bootstrap", "Create a new cluster in an empty data folder.").BoolVar(&s.Bootstrap)
	cmd.Flag("join", "Join a cluster with an empty data folder, also to replace a lost disk.").BoolVar(&s.Join)
	cmd.Flag("peers", "Peer addresses of other nodes; may be repeated.").StringsVar(&s.Peers)
	cmd.Flag("peer-plain", "Connect to other nodes without TLS.").BoolVar(&s.PeerPlain)
	cmd.Flag("peer-cert", "PEM file with this node's certificate.").StringVar(&s.PeerCert)
	cmd.Flag("peer-key", "PEM file with this node's private key.").StringVar(&s.PeerKey)
	cmd.Flag("peer-ca", "PEM file with the cluster's certificate authority.").StringVar(&s.PeerCA)
	cmd.Flag("operator-token", "File with the operator's token.").StringVar(&s.OperatorToken)
	cmd.Flag("target-token", "File with the token that targets announce with; without it any target may announce.").StringVar(&s.TargetToken)
	cmd.Flag("stop-delay", "Time between failing readiness and closing the ports on a planned stop.").
		Default(defaultStopDelay.String()).DurationVar(&s.StopDelay)
	cmd.Flag("stop-limit", "Maximum time for which a planned stop waits for requests in flight.").
		Default(defaultStopLimit.String()).DurationVar(&s.StopLimit)
	cmd.Flag("stale-limit", "Time for which this node serves new requests after its configuration lease ended; equal on all nodes.").
		Default(config.StaleLimit.String()).DurationVar(&s.StaleLimit)
	cmd.Flag("claim-retention", "Time for which claims of non-idempotent requests are kept; equal on all nodes.").
		Default(defaultClaimRetention.String()).DurationVar(&s.ClaimRetention)
	cmd.Flag("body-bytes", "Maximum number of bytes of callers' bodies that are held at a time; 0 for no limit.").
		Default(strconv.Itoa(defaultBodyBytes)).Int64Var(&s.BodyBytes)
	cmd.Flag("min-body-rate", "Minimum rate of callers' bodies in bytes a second: slower ones are ended if others need their memory; 0 for none.").
		Default(strconv.Itoa(buffer.DefaultMinRate)).Int64Var(&s.MinBodyRate)
	cmd.Flag("answer-bytes", "Maximum number of bytes of targets' answers that are held at a time; 0 for no limit.").
		Default(strconv.Itoa(defaultAnswerBytes)).Int64Var(&s.AnswerBytes)
	cmd.Flag("header-bytes", "Maximum number of bytes that headers of callers above 4 KB take; 0 for no limit.").
		Default(strconv.Itoa(defaultHeaderBytes)).Int64Var(&s.HeaderBytes)
	cmd.Flag("caller-connections", "Maximum number of open connections of callers; 0 for 40 % of the file descriptors.").
		Default("0").IntVar(&s.CallerConnections)
	cmd.Flag("trace-collector", "host:port of an OTLP/HTTP trace collector.").StringVar(&s.TraceCollector)
	cmd.Flag("trace-file", "File to which spans are appended as JSON lines.").StringVar(&s.TraceFile)
	cmd.Flag("log-level", "Minimum level of log lines.").Default("info").EnumVar(&s.LogLevel, "debug", "info", "warn", "error")
	cmd.Flag("log-format", "Format of log lines.").Default("text").EnumVar(&s.LogFormat, "text", "json")
	cmd.Flag("weight-loads", "Maximum number of concurrent weight loads in the whole fleet.").
		Default(strconv.Itoa(defaultWeightLoads)).IntVar(&s.WeightLoads)
	cmd.Flag("weight-rate", "Total bytes per second of all weight loads.").
		Default(strconv.Itoa(defaultWeightRate)).Int64Var(&s.WeightRate)
	return s
}

// logger returns a logger for level and format, which the flags have validated.
func logger(w io.Writer, level, format string) *slog.Logger {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = slog.LevelInfo
	}
	opts := &slog.HandlerOptions{Level: l}
	if format == "json" {
		return slog.New(slog.NewJSONHandler(w, opts))
	}
	return slog.New(slog.NewTextHandler(w, opts))
}
