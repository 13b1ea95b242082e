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
	// Workspaces contains the new and changed workspaces, DropWorkspaces the names of removed ones.
	Workspaces     []Workspace                  `json:"workspaces,omitempty"`
	DropWorkspaces []camphorhinge.WorkspaceName `json:"dropWorkspaces,omitempty"`
}

// Diff returns the delta from base to c; a nil base gives a delta with the full configuration.
func Diff(base, c *Config) *Delta {
	d := &Delta{Version: c.Version, Limits: c.Limits}
	if base == nil {
		d.Put, d.Services, d.Workspaces = c.Routes, c.Services, c.Workspaces
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
	d.diffWorkspaces(base, c)
	return d
}

func (d *Delta) diffWorkspaces(base, c *Config) {
	previous := make(map[camphorhinge.WorkspaceName]*Workspace, len(base.Workspaces))
	for i := range base.Workspaces {
		previous[base.Workspaces[i].Name] = &base.Workspaces[i]
	}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		if old := previous[w.Name]; old == nil || !reflect.DeepEqual(old, w) {
			d.Workspaces = append(d.Workspaces, *w)
		}
		delete(previous, w.Name)
	}
	for name := range previous {
		d.DropWorkspaces = append(d.DropWorkspaces, name)
	}
}

// Apply returns the configuration that results from applying d to base, which may be nil. It returns an error of
// KindGap when d applies to a version other than that of base.
func (d *Delta) Apply(base *Config) (*Config, error) {
	if d.Base == 0 {
		return &Config{Version: d.Version, Routes: d.Put, Services: d.Services, Limits: d.Limits, Workspaces: d.Workspaces}, nil
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
	c.Workspaces = d.applyWorkspaces(base.Workspaces)
	return c, nil
}

func (d *Delta) applyWorkspaces(base []Workspace) []Workspace {
	replaced := make(map[camphorhinge.WorkspaceName]bool, len(d.DropWorkspaces)+len(d.Workspaces))
	for _, name := range d.DropWorkspaces {
		replaced[name] = true
	}
	for i := range d.Workspaces {
		replaced[d.Workspaces[i].Name] = true
	}
	var out []Workspace
	for i := range base {
		if !replaced[base[i].Name] {
			out = append(out, base[i])
		}
	}
	return append(out, d.Workspaces...)
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
