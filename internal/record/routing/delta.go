package routing

import (
	"encoding/json"
	"fmt"
	"reflect"

	"example.org/camphorhinge"
)

// Delta is the difference between two versions of a configuration.
type Delta struct {
	// Base is the version that the delta applies to; 0 means that the delta contains the full configuration.
	Base camphorhinge.Version `json:"base,omitempty"`
	// Version is the version after the delta is applied.
	Version camphorhinge.Version `json:"version"`
	// Put contains the new and changed routes.
	Put []Route `json:"put,omitempty"`
	// Drop contains the keys of removed routes.
	Drop []string `json:"drop,omitempty"`
	// Services contains all services; nil means that they equal those of the base.
	Services []Service `json:"services,omitempty"`
	Limits   Limits    `json:"limits"`
}

// Diff returns the delta from base to c; a nil base gives a delta with the full configuration.
func Diff(base, c *Config) *Delta {
	d := &Delta{Version: c.Version, Limits: c.Limits}
	if base == nil {
		d.Put, d.Services = c.Routes, c.Services
		return d
	}
	d.Base = base.Version
	previous := make(map[string]*Route, len(base.Routes))
	for i := range base.Routes {
		previous[base.Routes[i].Key()] = &base.Routes[i]
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if old := previous[r.Key()]; old == nil || !reflect.DeepEqual(old, r) {
			d.Put = append(d.Put, *r)
		}
		delete(previous, r.Key())
	}
	for key := range previous {
		d.Drop = append(d.Drop, key)
	}
	if !reflect.DeepEqual(base.Services, c.Services) {
		d.Services = c.Services
	}
	return d
}

// Apply returns the configuration that results from applying d to base, which may be nil. It returns an error of
// KindGap when d applies to a version other than that of base.
func (d *Delta) Apply(base *Config) (*Config, error) {
	if d.Base == 0 {
		return &Config{Version: d.Version, Routes: d.Put, Services: d.Services, Limits: d.Limits}, nil
	}
	if base == nil || base.Version != d.Base {
		return nil, &Error{Op: "apply", Kind: KindGap, Err: fmt.Errorf("delta applies to version %d, which is not the current one", d.Base)}
	}
	c := &Config{Version: d.Version, Services: d.Services, Limits: d.Limits}
	if c.Services == nil {
		c.Services = base.Services
	}
	replaced := make(map[string]bool, len(d.Drop)+len(d.Put))
	for _, key := range d.Drop {
		replaced[key] = true
	}
	for i := range d.Put {
		replaced[d.Put[i].Key()] = true
	}
	for i := range base.Routes {
		if !replaced[base.Routes[i].Key()] {
			c.Routes = append(c.Routes, base.Routes[i])
		}
	}
	c.Routes = append(c.Routes, d.Put...)
	return c, nil
}

// Encode returns the JSON of d.
func (d *Delta) Encode() []byte {
	data, err := json.Marshal(d)
	if err != nil {
		panic("encode delta: " + err.Error()) // Unreachable: all fields of a Delta are marshalable.
	}
	return data
}

// DecodeDelta parses the JSON that Delta.Encode returns.
func DecodeDelta(data []byte) (*Delta, error) {
	var d Delta
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, &Error{Op: "decode delta", Kind: KindMalformed, Err: err}
	}
	return &d, nil
}
