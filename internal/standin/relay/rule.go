package relay

import (
	"fmt"
	"net/netip"
	"time"
)

// Mode is what a forward does with connections.
type Mode string

const (
	// ModePass passes connections on.
	ModePass Mode = "pass"
	// ModeCut resets open connections, and new ones at once.
	ModeCut Mode = "cut"
	// ModeMuteOpen silences open connections for ever; new ones work.
	ModeMuteOpen Mode = "mute-open"
	// ModeMute silences open connections for ever, and those opened while the rule holds.
	ModeMute Mode = "mute"
	// ModeToTarget passes only what the target is sent; nothing comes back, on open connections for ever.
	ModeToTarget Mode = "to-target"
	// ModeToCaller passes only what the target sends; nothing reaches it, on open connections for ever.
	ModeToCaller Mode = "to-caller"
)

// Modes returns all modes.
func Modes() []Mode {
	return []Mode{ModePass, ModeCut, ModeMuteOpen, ModeMute, ModeToTarget, ModeToCaller}
}

// silenced tells which directions of a connection are silent that is opened while the mode holds; open tells it of one that
// is open when the mode is set.
func (m Mode) silenced(open bool) (toTarget, toCaller bool) {
	switch m {
	case ModeMute:
		return true, true
	case ModeMuteOpen:
		return open, open
	case ModeToTarget:
		return false, true
	case ModeToCaller:
		return true, false
	}
	return false, false
}

// Rule is what holds for the connections of a forward, or for those from one source address.
type Rule struct {
	// Source is the IP address that connections come from; the zero value stands for all, and replaces the rules for
	// single ones.
	Source netip.Addr `json:"source,omitzero"`
	Mode   Mode       `json:"mode"`
	// Delay is the time, in nanoseconds, by which all bytes come late, in both directions.
	Delay time.Duration `json:"delay,omitempty"`
	// Target, if not empty, is the IP:port that new connections are passed on to from now on.
	Target string `json:"target,omitempty"`
}

// validate returns an error that names the first fault of a rule.
func (r Rule) validate() error {
	known := false
	for _, m := range Modes() {
		known = known || m == r.Mode
	}
	if !known {
		return fmt.Errorf("mode: expected one of %v, got %q", Modes(), r.Mode)
	}
	if r.Delay < 0 {
		return fmt.Errorf("delay: expected at least 0, got %v", r.Delay)
	}
	if _, err := netip.ParseAddrPort(r.Target); r.Target != "" && err != nil {
		return fmt.Errorf("target: expected IP:port, got %q", r.Target)
	}
	return nil
}

// Kind classes an Error.
type Kind string

const (
	// KindNetwork marks a failure to listen or to serve.
	KindNetwork Kind = "network"
	// KindRule marks a rule that can't be set.
	KindRule Kind = "rule"
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("relay %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
