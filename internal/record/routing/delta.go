package routing

import (
	"encoding/json"
	"fmt"
	"reflect"

	"example.org/camphorhinge"
)

// Delta is the difference between two versions of a configuration.
type Delta struct {
	// Base is the version that the difference applies to; 0 stands for none, and Put is then the whole configuration.
	Base camphorhinge.Version `json:"base,omitempty"`
	// Version is the version that results.
	Version camphorhinge.Version `json:"version"`
	Put     []Route              `json:"put,omitempty"`
	// Drop are the keys of routes that are gone.
	Drop []string `json:"drop,omitempty"`
	// Services are all services; nil stands for those of the base.
	Services []Service `json:"services,omitempty"`
	Limits   Limits    `json:"limits"`
}

// Diff returns the difference from base, which may be nil, to c.
func Diff(base, c *Config) *Delta {
	d := &Delta{Version: c.Version, Limits: c.Limits}
	if base == nil {
		d.Put, d.Services = c.Routes, c.Services
		return d
	}
	d.Base = base.Version
	held := make(map[string]*Route, len(base.Routes))
	for i := range base.Routes {
		held[base.Routes[i].Key()] = &base.Routes[i]
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if old := held[r.Key()]; old == nil || !reflect.DeepEqual(old, r) {
			d.Put = append(d.Put, *r)
		}
		delete(held, r.Key())
	}
	for key := range held {
		d.Drop = append(d.Drop, key)
	}
	if !reflect.DeepEqual(base.Services, c.Services) {
		d.Services = c.Services
	}
	return d
}

// Apply returns the configuration that d makes of base, which may be nil. It fails with KindGap when d is the difference
// from another version.
func (d *Delta) Apply(base *Config) (*Config, error) {
	if d.Base == 0 {
		return &Config{Version: d.Version, Routes: d.Put, Services: d.Services, Limits: d.Limits}, nil
	}
	if base == nil || base.Version != d.Base {
		return nil, &Error{Op: "apply", Kind: KindGap, Err: fmt.Errorf("difference from version %d", d.Base)}
	}
	c := &Config{Version: d.Version, Services: d.Services, Limits: d.Limits}
	if c.Services == nil {
		c.Services = base.Services
	}
	gone := make(map[string]bool, len(d.Drop)+len(d.Put))
	for _, key := range d.Drop {
		gone[key] = true
	}
	for i := range d.Put {
		gone[d.Put[i].Key()] = true
	}
	for i := range base.Routes {
		if !gone[base.Routes[i].Key()] {
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
		panic("encode difference: " + err.Error()) // A Delta has only marshalable fields.
	}
	return data
}

// DecodeDelta parses the JSON of a Delta.
func DecodeDelta(data []byte) (*Delta, error) {
	var d Delta
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, &Error{Op: "decode difference", Kind: KindMalformed, Err: err}
	}
	return &d, nil
}
