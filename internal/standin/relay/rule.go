package relay

import (
	"fmt"
	"net/netip"
	"time"
)

// Mode is what a forward does with connections.
type Mode string

const (
	// ModePass forwards connections.
	ModePass Mode = "pass"
	// ModeCut resets open connections, and new ones as soon as they are accepted.
	ModeCut Mode = "cut"
	// ModeMuteOpen drops all further bytes of open connections without closing them; new ones work.
	ModeMuteOpen Mode = "mute-open"
	// ModeMute drops all further bytes of open connections and of those opened while the rule is in force.
	ModeMute Mode = "mute"
	// ModeToTarget forwards only the bytes to the target. Open connections stay one-way after the rule.
	ModeToTarget Mode = "to-target"
	// ModeToCaller forwards only the bytes from the target. Open connections stay one-way after the rule.
	ModeToCaller Mode = "to-caller"
)

// Modes returns all modes.
func Modes() []Mode {
	return []Mode{ModePass, ModeCut, ModeMuteOpen, ModeMute, ModeToTarget, ModeToCaller}
}

// silenced returns which directions of a connection become silent: with open, of one that is open when the mode is set,
// otherwise of one that is opened afterwards.
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

// Rule determines the treatment of all connections of a forward, or of those from one source address.
type Rule struct {
	// Source is the IP address that connections come from. The zero value stands for all addresses and replaces the
	// rules for single ones.
	Source netip.Addr `json:"source,omitzero"`
	Mode   Mode       `json:"mode"`
	// Delay is added to all bytes in both directions; it is encoded in nanoseconds.
	Delay time.Duration `json:"delay,omitempty"`
	// Target, if not empty, is the IP:port to which new connections are forwarded from now on.
	Target string `json:"target,omitempty"`
}

// validate returns an error for the first invalid field.
func (r Rule) validate() error {
	validMode := false
	for _, m := range Modes() {
		validMode = validMode || m == r.Mode
	}
	if !validMode {
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

// Kind classifies an Error.
type Kind string

const (
	// KindNetwork marks a failure to listen, to serve or to reach the control port.
	KindNetwork Kind = "network"
	// KindRule marks a rule or a set of forwards that is invalid.
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
