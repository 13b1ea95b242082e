package setting

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"example.org/camphorhinge"
)

// Serve holds the settings of a serve process.
type Serve struct {
	Node camphorhinge.NodeID
	Zone camphorhinge.Zone

	CallerListen   string
	TargetListen   string
	OperatorListen string
	PeerListen     string
	// PeerAddress is the IP:port at which other nodes reach this node; if empty, the port's listen address is used.
	PeerAddress string
	// PeerSource is the local IP address of connections to other nodes; if empty, the system chooses it.
	PeerSource string

	// Data is the path of the data folder; empty for a node without a replica.
	Data      string
	Bootstrap bool
	Join      bool
	// Resume makes Bootstrap and Join apply only to an empty data folder; a node with a log resumes from it.
	Resume bool
	// Voters is the number of voters that the leader maintains, LostAfter how long a voter may be unreachable before a
	// spare learner replaces it; 0 selects the default.
	Voters    int
	LostAfter time.Duration
	// Memory bounds the replicated state in memory.
	Memory StateMemory
	// Peers are peer addresses of other nodes, through which the node finds the leader.
	Peers []string

	PeerPlain bool
	PeerCert  string
	PeerKey   string
	PeerCA    string

	OperatorToken string
	TargetToken   string

	StopDelay      time.Duration
	StopLimit      time.Duration
	StaleLimit     time.Duration
	ClaimRetention time.Duration

	// BodyBytes is the greatest number of bytes of callers' bodies that are held at a time; 0 means no limit.
	BodyBytes int64
	// MinBodyRate is the minimum rate of callers' bodies, in bytes a second: slower ones are ended if others need their memory; 0 means none.
	MinBodyRate int64
	// AnswerBytes is the greatest number of bytes of targets' answers that are held at a time, and HeaderBytes that of incomplete headers of
	// callers; 0 means no limit.
	AnswerBytes, HeaderBytes int64
	// CallerConnections is the greatest number of open connections of callers; 0 means a share of the file descriptors.
	CallerConnections int

	TraceCollector string
	TraceFile      string
	LogLevel       string
	LogFormat      string

	// WeightLoads is the maximum number of concurrent weight loads, WeightRate their total bandwidth in bytes per second.
	WeightLoads int
	WeightRate  int64
}

// Bounds of duration settings.
const (
	maxStaleLimit     = time.Hour
	maxStop           = time.Hour
	minClaimRetention = time.Minute
	maxClaimRetention = 7 * 24 * time.Hour
)

// Check returns an error for each invalid setting, joined, or nil; each error names the flag.
func (s *Serve) Check() error {
	var errs []error
	fault := func(ok bool, flag, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf("--%s: %s", flag, fmt.Sprintf(format, args...)))
		}
	}

	fault(s.Node != "", "node", "expected the name of this node")
	fault(s.Zone != "", "zone", "expected the availability zone of this VM")
	for _, l := range []struct{ flag, address string }{
		{"caller-listen", s.CallerListen},
		{"target-listen", s.TargetListen},
		{"operator-listen", s.OperatorListen},
		{"peer-listen", s.PeerListen},
	} {
		_, err := netip.ParseAddrPort(l.address)
		fault(err == nil, l.flag, "expected IP:port, got %q", l.address)
	}
	errs = append(errs, s.portFaults()...)
	errs = append(errs, s.peerFaults()...)

	fault(!s.Bootstrap || !s.Join, "bootstrap", "contradicts --join")
	fault(!s.Bootstrap || s.Data != "", "bootstrap", "needs --data")
	fault(!s.Join || s.Data != "", "join", "needs --data; a node without a replica joins by itself")
	fault(!s.Join || len(s.Peers) > 0, "join", "needs --peers")
	fault(s.Data != "" || len(s.Peers) > 0, "peers", "expected at least one peer address for a node without --data")
	fault(fileExists(s.OperatorToken), "operator-token", "expected a readable file, got %q", s.OperatorToken)
	fault(s.TargetToken == "" || fileExists(s.TargetToken), "target-token", "expected a readable file, got %q", s.TargetToken)

	fault(s.StopDelay >= 0 && s.StopDelay <= maxStop, "stop-delay", "expected 0 to %v", maxStop)
	fault(s.StopLimit > 0 && s.StopLimit <= maxStop, "stop-limit", "expected more than 0 and at most %v", maxStop)
	fault(s.StaleLimit >= 0 && s.StaleLimit <= maxStaleLimit, "stale-limit", "expected 0 to %v", maxStaleLimit)
	fault(s.ClaimRetention >= minClaimRetention && s.ClaimRetention <= maxClaimRetention,
		"claim-retention", "expected %v to %v", minClaimRetention, maxClaimRetention)
	fault(s.BodyBytes >= 0, "body-bytes", "expected no negative number")
	fault(s.MinBodyRate >= 0, "min-body-rate", "expected no negative number")
	fault(s.AnswerBytes >= 0, "answer-bytes", "expected no negative number")
	fault(s.HeaderBytes >= 0, "header-bytes", "expected no negative number")
	fault(s.CallerConnections >= 0, "caller-connections", "expected no negative number")
	fault(s.WeightLoads > 0, "weight-loads", "expected at least 1")
	fault(s.WeightRate > 0, "weight-rate", "expected at least 1 byte per second")
	return errors.Join(errs...)
}

func (s *Serve) portFaults() []error {
	seen := map[string]string{}
	var errs []error
	for _, l := range []struct{ flag, address string }{
		{"caller-listen", s.CallerListen},
		{"target-listen", s.TargetListen},
		{"operator-listen", s.OperatorListen},
		{"peer-listen", s.PeerListen},
	} {
		if strings.HasSuffix(l.address, ":0") {
			continue
		}
		if other := seen[l.address]; other != "" {
			errs = append(errs, fmt.Errorf("--%s: same address as --%s; each kind of client has its own port", l.flag, other))
		}
		seen[l.address] = l.flag
	}
	return errs
}

func (s *Serve) peerFaults() []error {
	var errs []error
	for _, p := range s.Peers {
		if _, err := netip.ParseAddrPort(p); err != nil {
			errs = append(errs, fmt.Errorf("--peers: expected IP:port, got %q", p))
		}
	}
	if s.PeerAddress != "" {
		if _, err := netip.ParseAddrPort(s.PeerAddress); err != nil {
			errs = append(errs, fmt.Errorf("--peer-address: expected IP:port, got %q", s.PeerAddress))
		}
	} else if a, err := netip.ParseAddrPort(s.PeerListen); err == nil && a.Addr().IsUnspecified() {
		errs = append(errs, errors.New("--peer-address: needed when --peer-listen names no single address"))
	}
	if s.PeerSource != "" {
		if _, err := netip.ParseAddr(s.PeerSource); err != nil {
			errs = append(errs, fmt.Errorf("--peer-source: expected an IP address, got %q", s.PeerSource))
		}
	}
	files := []struct{ flag, name string }{{"peer-cert", s.PeerCert}, {"peer-key", s.PeerKey}, {"peer-ca", s.PeerCA}}
	for _, f := range files {
		switch {
		case s.PeerPlain && f.name != "":
			errs = append(errs, fmt.Errorf("--%s: contradicts --peer-plain", f.flag))
		case !s.PeerPlain && !fileExists(f.name):
			errs = append(errs, fmt.Errorf("--%s: expected a readable file, got %q (or --peer-plain for no TLS)", f.flag, f.name))
		}
	}
	return errs
}

func fileExists(name string) bool {
	if name == "" {
		return false
	}
	info, err := os.Stat(name)
	return err == nil && !info.IsDir()
}
