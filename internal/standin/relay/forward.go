package relay

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// dialTimeout bounds the time to connect to a target.
const dialTimeout = 2 * time.Second

// forward relays the connections of one listener to one target.
type forward struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	// rule applies to source addresses without a rule in sources.
	rule    Rule
	sources map[netip.Addr]Rule
	links   map[*link]struct{}
}

func newForward(listener net.Listener, target string) *forward {
	return &forward{
		listener: listener, target: target, rule: Rule{Mode: ModePass},
		sources: map[netip.Addr]Rule{}, links: map[*link]struct{}{},
	}
}

// set applies a rule to open and new connections.
func (f *forward) set(r Rule) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Target != "" {
		f.target = r.Target
	}
	if r.Source.IsValid() {
		f.sources[r.Source] = r
	} else {
		f.rule = r
		clear(f.sources)
	}
	for l := range f.links {
		if !r.Source.IsValid() || r.Source == l.source {
			l.apply(r, true)
		}
	}
}

// status returns the addresses, the rules in force and the number of open connections.
func (f *forward) status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := Status{Listen: f.listener.Addr().String(), Target: f.target, Open: len(f.links), Rules: []Rule{f.rule}}
	for _, r := range f.sources {
		s.Rules = append(s.Rules, r)
	}
	return s
}

// run accepts connections until ctx ends.
func (f *forward) run(ctx context.Context) error {
	var g errgroup.Group
	stop := context.AfterFunc(ctx, func() {
		f.listener.Close()
		f.set(Rule{Mode: ModeCut})
	})
	defer stop()
	for {
		c, err := f.listener.Accept()
		if err != nil {
			werr := g.Wait()
			if ctx.Err() != nil {
				return werr
			}
			return &Error{Op: "accept", Kind: KindNetwork, Err: err}
		}
		g.Go(func() error {
			f.serve(ctx, c)
			return nil
		})
	}
}

// serve relays one connection until both directions have ended.
func (f *forward) serve(ctx context.Context, caller net.Conn) {
	l := &link{caller: caller}
	if a, ok := caller.RemoteAddr().(*net.TCPAddr); ok {
		l.source = a.AddrPort().Addr().Unmap()
	}
	target, ok := f.register(ctx, l)
	if !ok {
		reset(caller)
		return
	}
	defer f.unregister(l)
	dialer := net.Dialer{Timeout: dialTimeout}
	to, err := dialer.DialContext(ctx, "tcp", target)
	if err != nil || !l.setTarget(to) {
		if to != nil {
			to.Close()
		}
		reset(caller)
		return
	}
	var g errgroup.Group
	g.Go(func() error { return l.copy(ctx, to, caller, &l.toTargetSilent) })
	g.Go(func() error { return l.copy(ctx, caller, to, &l.toCallerSilent) })
	_ = g.Wait() // A broken connection is a regular end.
	caller.Close()
	to.Close()
}

// register adds a link under the rule for its source. ok is false when the connection is to be reset.
func (f *forward) register(ctx context.Context, l *link) (target string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.sources[l.source]
	if !ok {
		r = f.rule
	}
	if f.target == "" || r.Mode == ModeCut || ctx.Err() != nil {
		return "", false
	}
	l.apply(r, false)
	f.links[l] = struct{}{}
	return f.target, true
}

func (f *forward) unregister(l *link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.links, l)
}
