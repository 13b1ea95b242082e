package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"

	"example.org/camphorhinge"
)

const (
	// MaxAnnouncement is the largest announcement, in bytes.
	MaxAnnouncement = 64 << 10
	// maxName is the longest name of a target, service, model or adapter, in bytes.
	maxName = 128
	// maxModels is the largest number of models of one target, and also that of adapters.
	maxModels = 256
	// maxEvents is the largest number of cache events in one announcement.
	maxEvents = 1024
)

// Decode parses and validates an announcement. All faults are reported at once, in one Error.
func Decode(data []byte) (camphorhinge.Announcement, error) {
	var a camphorhinge.Announcement
	if len(data) > MaxAnnouncement {
		return a, &Error{Op: "decode", Kind: KindTooLarge, Err: fmt.Errorf("%d bytes, at most %d", len(data), MaxAnnouncement)}
	}
	if err := json.Unmarshal(data, &a); err != nil {
		return a, &Error{Op: "decode", Kind: KindMalformed, Err: err}
	}
	if err := errors.Join(validate(&a)...); err != nil {
		return a, &Error{Op: "decode", Kind: KindMalformed, Err: err}
	}
	return a, nil
}

func validate(a *camphorhinge.Announcement) []error {
	var errs []error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	validName := func(s string) bool { return s != "" && len(s) <= maxName }

	check(validName(string(a.Name)), "name: expected 1 to %d bytes", maxName)
	check(validName(string(a.Service)), "service: expected 1 to %d bytes", maxName)
	check(validName(string(a.Zone)), "zone: expected 1 to %d bytes", maxName)
	_, err := netip.ParseAddrPort(a.Address)
	check(err == nil, "address: expected IP:port, got %q", a.Address)
	check(a.Incarnation > 0, "incarnation: expected at least 1")
	check(len(a.Models) <= maxModels, "models: expected at most %d", maxModels)
	check(len(a.Adapters) <= maxModels, "adapters: expected at most %d", maxModels)
	check(len(a.Cache.Events) <= maxEvents, "cache.events: expected at most %d", maxEvents)
	check(a.Load.Running >= 0 && a.Load.Waiting >= 0 && a.Load.Tokens >= 0, "load: expected no negative number")
	check(a.Load.Age >= 0, "load.age: expected no negative number")

	switch a.Kind {
	case camphorhinge.KindService:
	case camphorhinge.KindEngine:
		errs = append(errs, validateEngine(a)...)
	default:
		check(false, "kind: expected engine or service, got %q", a.Kind)
	}
	return errs
}

func validateEngine(a *camphorhinge.Announcement) []error {
	var errs []error
	switch a.Role {
	case camphorhinge.RoleMixed, camphorhinge.RolePrefill, camphorhinge.RoleDecode:
	default:
		errs = append(errs, fmt.Errorf("role: expected mixed, prefill or decode, got %q", a.Role))
	}
	switch a.Fencing {
	case camphorhinge.FencingChecked, camphorhinge.FencingIgnored:
	default:
		errs = append(errs, fmt.Errorf("fencing: expected checked or ignored, got %q", a.Fencing))
	}
	switch a.Orders {
	case camphorhinge.OrdersPlain, camphorhinge.OrdersTwoStep, camphorhinge.OrdersConditional:
	default:
		errs = append(errs, fmt.Errorf("orders: expected plain, twostep or conditional, got %q", a.Orders))
	}
	return errs
}
