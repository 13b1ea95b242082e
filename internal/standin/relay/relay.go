package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// headerTimeout bounds the time to read a request header on the control port.
	headerTimeout = 5 * time.Second
	// maxRuleBytes bounds a request body on the control port.
	maxRuleBytes = 4 << 10
	// rulesPath sets the rule of one forward on the control port; forwardsPath returns the status of all forwards.
	rulesPath    = "/v1/forwards/{name}"
	forwardsPath = "/v1/forwards"
)

// Forward describes one listener.
type Forward struct {
	Name string
	// Listen is the IP:port to listen on.
	Listen string
	// Target is the IP:port to forward connections to. While it is empty, connections are reset.
	Target string
}

// Config describes a relay.
type Config struct {
	// Control is the IP:port of the control port.
	Control  string
	Forwards []Forward
}

// Status describes one forward.
type Status struct {
	Listen string `json:"listen"`
	Target string `json:"target"`
	// Open is the number of open connections.
	Open  int    `json:"open"`
	Rules []Rule `json:"rules"`
}

// Relay is a set of forwards with a control port.
type Relay struct {
	control  net.Listener
	forwards map[string]*forward
}

// New creates a relay and opens all listeners; Run serves them.
func New(c Config) (*Relay, error) {
	control, err := net.Listen("tcp", c.Control)
	if err != nil {
		return nil, &Error{Op: "listen", Kind: KindNetwork, Err: err}
	}
	r := &Relay{control: control, forwards: map[string]*forward{}}
	for _, f := range c.Forwards {
		if r.forwards[f.Name] != nil {
			r.close()
			return nil, &Error{Op: "new", Kind: KindRule, Err: fmt.Errorf("forward %q is named twice", f.Name)}
		}
		l, err := net.Listen("tcp", f.Listen)
		if err != nil {
			r.close()
			return nil, &Error{Op: "listen", Kind: KindNetwork, Err: err}
		}
		r.forwards[f.Name] = newForward(l, f.Target)
	}
	return r, nil
}

func (r *Relay) close() {
	r.control.Close()
	for _, f := range r.forwards {
		f.listener.Close()
	}
}

// Control returns the address of the control port.
func (r *Relay) Control() string { return r.control.Addr().String() }

// Addr returns the address that a forward listens on, or "" for an unknown name.
func (r *Relay) Addr(name string) string {
	if f := r.forwards[name]; f != nil {
		return f.listener.Addr().String()
	}
	return ""
}

// Set applies a rule to the open and new connections of a forward.
func (r *Relay) Set(name string, rule Rule) error {
	f := r.forwards[name]
	if f == nil {
		return &Error{Op: "set", Kind: KindRule, Err: fmt.Errorf("unknown forward %q", name)}
	}
	if err := rule.validate(); err != nil {
		return &Error{Op: "set", Kind: KindRule, Err: err}
	}
	f.set(rule)
	return nil
}

// Run forwards connections until ctx ends, and then resets all of them.
func (r *Relay) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, f := range r.forwards {
		g.Go(func() error { return f.run(ctx) })
	}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+rulesPath, r.put)
	mux.HandleFunc("GET "+forwardsPath, r.get)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	g.Go(func() error {
		if err := server.Serve(r.control); !errors.Is(err, http.ErrServerClosed) {
			return &Error{Op: "serve", Kind: KindNetwork, Err: err}
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	return g.Wait()
}

// put sets the rule of a forward. It responds once the rule is in force.
func (r *Relay) put(w http.ResponseWriter, req *http.Request) {
	var rule Rule
	err := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxRuleBytes)).Decode(&rule)
	if err == nil {
		err = r.Set(req.PathValue("name"), rule)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (r *Relay) get(w http.ResponseWriter, _ *http.Request) {
	all := map[string]Status{}
	for name, f := range r.forwards {
		all[name] = f.status()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(all) // Encoding fails only when the client has disconnected.
}
