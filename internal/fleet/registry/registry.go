package registry

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"example.org/camphorhinge"
)

const (
	// MaxTargets bounds the registry's memory; it is above the 10,000 replicas expected in two years.
	MaxTargets = 20000
	// PollAfter is the age of a target's last renewal from which the node polls the target itself.
	PollAfter = 1500 * time.Millisecond
	// refreshInterval is the least time between two rebuilds of a service's list when only loads or caches changed.
	refreshInterval = 50 * time.Millisecond
	// expiredRetention is how long a target is kept after its last renewal. A late announcement of it is recognized
	// as old by its (incarnation, seq) until then.
	expiredRetention = time.Minute
)

// Config holds the dependencies and settings of a Registry.
type Config struct {
	Clock camphorhinge.Clock
	// Cordoned reports whether a target must get no new work according to the replicated decisions; nil means never.
	Cordoned func(*camphorhinge.Target) bool
	// Expiry is how long a target stays live after its last renewal; 0 stands for camphorhinge.TargetExpiry.
	Expiry time.Duration
	// Exclusive gives each address to the target with the highest incarnation there. A late announcement of an
	// earlier process at the address then makes no target live.
	Exclusive bool
	// OnChange is called after a change that affects routing; nil means no callback.
	OnChange func()
	// OnAnnouncement is called for each accepted announcement; nil means no callback. Calls for one target may come
	// out of order.
	OnAnnouncement func(*camphorhinge.Target)
	Metrics        *metrics.Set
}

// Registry is a node's view of the live targets; it implements camphorhinge.Targets.
//
// Invariant: each target has the entry with the highest (incarnation, seq), whatever the order of arrival.
type Registry struct {
	cfg Config

	mu       sync.Mutex
	targets  map[camphorhinge.TargetName]*entry
	services map[camphorhinge.ServiceName]*serviceList
	// direct names the targets whose announcements the next TakeDirect returns.
	direct map[camphorhinge.TargetName]bool
	// addressOwners maps each address to the target that owns it; it is used only with Config.Exclusive.
	addressOwners map[string]camphorhinge.TargetName
	// change is the number of the last change that affects routing.
	change uint64
	// notifiedChange is the change for which Config.OnChange was last called.
	notifiedChange uint64

	accepted, old, refused *metrics.Counter
}

type entry struct {
	target *camphorhinge.Target
	// polledAt is when the node last polled the target.
	polledAt camphorhinge.Instant
	// change is the number of the entry's last change that affects routing.
	change uint64
	// left is set once the target has left for good; further announcements of the same incarnation are ignored.
	left bool
	// displaced is set while another target owns the address.
	displaced bool
}

type serviceList struct {
	members map[camphorhinge.TargetName]*entry
	live    []*camphorhinge.Target
	builtAt camphorhinge.Instant
	// expiresAt is when the first target of live expires.
	expiresAt camphorhinge.Instant
	// dirty requests a rebuild after refreshInterval, urgent one at the next call.
	dirty, urgent bool
}

// New returns an empty Registry.
func New(cfg Config) *Registry {
	if cfg.Expiry == 0 {
		cfg.Expiry = camphorhinge.TargetExpiry
	}
	r := &Registry{
		cfg:           cfg,
		targets:       map[camphorhinge.TargetName]*entry{},
		services:      map[camphorhinge.ServiceName]*serviceList{},
		direct:        map[camphorhinge.TargetName]bool{},
		addressOwners: map[string]camphorhinge.TargetName{},
		accepted:      cfg.Metrics.NewCounter(`camphorhinge_announcements_total{result="accepted"}`),
		old:           cfg.Metrics.NewCounter(`camphorhinge_announcements_total{result="old"}`),
		refused:       cfg.Metrics.NewCounter(`camphorhinge_announcements_total{result="refused"}`),
	}
	cfg.Metrics.NewGauge(`camphorhinge_targets`, func() float64 { return float64(r.Len()) })
	return r
}

// Announce records an announcement that is age old and reports whether it is newer than the recorded one. Direct
// means that it came from the target and not from another node; direct ones are returned by TakeDirect. The error is
// an *Error of KindFull.
func (r *Registry) Announce(a camphorhinge.Announcement, age time.Duration, direct bool) (bool, error) {
	t, err := r.accept(a, age, direct)
	if t == nil || err != nil {
		return false, err
	}
	// The callbacks are called without the lock, since they may read the live targets.
	if r.cfg.OnAnnouncement != nil {
		r.cfg.OnAnnouncement(t)
	}
	r.notify()
	return true, nil
}

// notify calls OnChange if there was a change since its last call.
func (r *Registry) notify() {
	if r.cfg.OnChange == nil {
		return
	}
	r.mu.Lock()
	notified := r.notifiedChange == r.change
	r.notifiedChange = r.change
	r.mu.Unlock()
	if !notified {
		r.cfg.OnChange()
	}
}

// accept records an announcement and returns its target, or nil if it is not newer than the recorded one.
func (r *Registry) accept(a camphorhinge.Announcement, age time.Duration, direct bool) (*camphorhinge.Target, error) {
	now := r.cfg.Clock.Now()
	reportedAt := now.Add(-max(age, 0))
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.targets[a.Name]
	if e != nil {
		recorded := &e.target.Announcement
		same := a.Incarnation == recorded.Incarnation
		leaves := a.Left && same
		if e.left && same || !leaves && !newer(&a, recorded) {
			r.old.Inc()
			return nil, nil
		}
		if leaves {
			// The node that recorded the leave may have missed the target's latest announcements, but none comes after the leave.
			a.Seq = max(a.Seq, recorded.Seq)
		}
	}
	if e == nil && len(r.targets) >= MaxTargets {
		r.removeExpired(now)
		if len(r.targets) >= MaxTargets {
			r.refused.Inc()
			return nil, &Error{Op: "announce", Kind: KindFull, Err: fmt.Errorf("%d targets", MaxTargets)}
		}
	}
	t := &camphorhinge.Target{Announcement: a, ReportedAt: reportedAt}
	r.put(e, t)
	if direct {
		r.direct[a.Name] = true
	}
	r.accepted.Inc()
	return t, nil
}

// RecordPoll records a target's answer to a poll that was sent age ago. Unlike a repeated announcement, an answer
// with the recorded sequence renews the target, since it comes from the target itself.
func (r *Registry) RecordPoll(a camphorhinge.Announcement, age time.Duration) error {
	if _, err := r.Announce(a, age, false); err != nil {
		return err
	}
	reportedAt := r.cfg.Clock.Now().Add(-max(age, 0))
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.targets[a.Name]
	if newer(&e.target.Announcement, &a) || reportedAt <= e.target.ReportedAt {
		return nil
	}
	t := *e.target
	t.ReportedAt = reportedAt
	r.put(e, &t)
	return nil
}

func newer(a, recorded *camphorhinge.Announcement) bool {
	if a.Incarnation != recorded.Incarnation {
		return a.Incarnation > recorded.Incarnation
	}
	return a.Seq > recorded.Seq
}

// put stores t in its entry e, or in a new one if e is nil, and requests a rebuild of its service's list. The caller
// holds r.mu.
func (r *Registry) put(e *entry, t *camphorhinge.Target) {
	urgent := true
	if e == nil {
		e = &entry{}
		r.targets[t.Name] = e
	} else {
		if e.target.Service != t.Service {
			r.unlist(e)
		}
		urgent = routingChanged(e.target, t)
	}
	e.target, e.left = t, t.Left
	urgent = r.assignAddress(e) || urgent
	if urgent {
		r.change++
		e.change = r.change
	}
	s := r.services[t.Service]
	if s == nil {
		s = &serviceList{members: map[camphorhinge.TargetName]*entry{}}
		r.services[t.Service] = s
	}
	s.members[t.Name] = e
	s.dirty = true
	s.urgent = s.urgent || urgent
}

// assignAddress decides which target owns the address of e, and reports whether e gained or lost it.
func (r *Registry) assignAddress(e *entry) bool {
	if !r.cfg.Exclusive {
		return false
	}
	wasDisplaced := e.displaced
	other := r.targets[r.addressOwners[e.target.Address]]
	e.displaced = other != nil && other != e && other.target.Address == e.target.Address &&
		other.target.Incarnation > e.target.Incarnation
	if e.displaced {
		return !wasDisplaced
	}
	r.addressOwners[e.target.Address] = e.target.Name
	if other != nil && other != e && other.target.Address == e.target.Address {
		other.displaced = true
		r.change++
		other.change = r.change
		if s := r.services[other.target.Service]; s != nil {
			s.urgent = true
		}
		return true
	}
	return wasDisplaced
}

// MarkLeft records that a target has left for good; later announcements of the same incarnation don't bring it back.
// An incarnation of 0 stands for the recorded one. It reports whether the target was recorded and had not left.
func (r *Registry) MarkLeft(name camphorhinge.TargetName, incarnation camphorhinge.Incarnation) bool {
	r.mu.Lock()
	e := r.targets[name]
	if e == nil || e.left || incarnation != 0 && incarnation < e.target.Incarnation {
		r.mu.Unlock()
		return false
	}
	t := *e.target
	t.Leaving = true
	if incarnation > t.Incarnation {
		t.Incarnation = incarnation
	}
	t.Seq++
	t.Left = true
	r.put(e, &t)
	r.direct[name] = true
	r.mu.Unlock()
	r.notify()
	return true
}

// Recorded returns the recorded announcement of a target; ok is false if there is none.
func (r *Registry) Recorded(name camphorhinge.TargetName) (a Aged, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.targets[name]
	if e == nil {
		return Aged{}, false
	}
	return Aged{Announcement: e.target.Announcement, Age: r.cfg.Clock.Now().Sub(e.target.ReportedAt)}, true
}

// Changes returns the targets that changed after change number since, leaving ones included, and the number of the
// last change. A since of 0 returns all targets.
func (r *Registry) Changes(since uint64) ([]Aged, uint64) {
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Aged
	for _, e := range r.targets {
		if e.change > since && !e.displaced {
			out = append(out, Aged{Announcement: e.target.Announcement, Age: now.Sub(e.target.ReportedAt)})
		}
	}
	slices.SortFunc(out, func(a, b Aged) int { return cmp.Compare(a.Announcement.Name, b.Announcement.Name) })
	return out, r.change
}

// routingChanged reports whether two states of a target differ in a field that routing depends on.
func routingChanged(old, t *camphorhinge.Target) bool {
	return old.Name != t.Name || routingDigest(old) != routingDigest(t)
}

// unlist removes e from its service's list and gives up its address. The caller holds r.mu.
func (r *Registry) unlist(e *entry) {
	s := r.services[e.target.Service]
	delete(s.members, e.target.Name)
	s.urgent = true
	if r.addressOwners[e.target.Address] == e.target.Name {
		delete(r.addressOwners, e.target.Address)
	}
	if len(s.members) == 0 {
		delete(r.services, e.target.Service)
	}
}

// removeExpired removes targets whose last renewal is older than expiredRetention.
func (r *Registry) removeExpired(now camphorhinge.Instant) {
	for name, e := range r.targets {
		if now.Sub(e.target.ReportedAt) > expiredRetention {
			r.unlist(e)
			delete(r.targets, name)
			delete(r.direct, name)
		}
	}
}

// Invalidate makes the next call of Live rebuild its list, after a change of what Config.Cordoned reports.
func (r *Registry) Invalidate() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.services {
		s.urgent = true
	}
}

// Live returns the live targets of a service, sorted by name; the caller must not change the slice.
func (r *Registry) Live(service camphorhinge.ServiceName) []*camphorhinge.Target {
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[service]
	if s == nil {
		return nil
	}
	if s.urgent || now >= s.expiresAt || (s.dirty && now.Sub(s.builtAt) >= refreshInterval) {
		r.rebuild(s, now)
	}
	return s.live
}

func (r *Registry) rebuild(s *serviceList, now camphorhinge.Instant) {
	live := make([]*camphorhinge.Target, 0, len(s.members))
	s.expiresAt = now.Add(r.cfg.Expiry)
	for _, e := range s.members {
		expiresAt := e.target.ReportedAt.Add(r.cfg.Expiry)
		if now >= expiresAt || e.displaced {
			continue
		}
		s.expiresAt = min(s.expiresAt, expiresAt)
		t := *e.target
		t.Serving = !t.Leaving && !t.Busy && (r.cfg.Cordoned == nil || !r.cfg.Cordoned(&t))
		live = append(live, &t)
	}
	slices.SortFunc(live, func(a, b *camphorhinge.Target) int { return cmp.Compare(a.Name, b.Name) })
	s.live, s.builtAt, s.dirty, s.urgent = live, now, false, false
}

// Len returns the number of recorded targets, expired ones included until they are removed.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.targets)
}

// AtAddress returns the recorded target that has or had an address, an IP:port, or nil; it is used only with
// Config.Exclusive.
func (r *Registry) AtAddress(address string) *camphorhinge.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.targets[r.addressOwners[address]]; e != nil {
		return e.target
	}
	return nil
}

// All returns the live targets of all services, sorted by name.
func (r *Registry) All() []*camphorhinge.Target {
	r.mu.Lock()
	names := slices.Collect(maps.Keys(r.services))
	r.mu.Unlock()
	var all []*camphorhinge.Target
	for _, name := range names {
		all = append(all, r.Live(name)...)
	}
	slices.SortFunc(all, func(a, b *camphorhinge.Target) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Aged is an announcement with its age at the time of the call that returned it.
type Aged struct {
	Announcement camphorhinge.Announcement
	Age          time.Duration
}

// TakeDirect returns the announcements that came directly from targets since the last call, for forwarding to other
// nodes.
func (r *Registry) TakeDirect() []Aged {
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeExpired(now)
	out := make([]Aged, 0, len(r.direct))
	for name := range r.direct {
		t := r.targets[name].target
		out = append(out, Aged{Announcement: t.Announcement, Age: now.Sub(t.ReportedAt)})
	}
	clear(r.direct)
	slices.SortFunc(out, func(a, b Aged) int { return cmp.Compare(a.Announcement.Name, b.Announcement.Name) })
	return out
}

// LiveAnnouncements returns the newest announcement of each target that has not expired, sorted by name.
func (r *Registry) LiveAnnouncements() []Aged {
	now := r.cfg.Clock.Now()
	var out []Aged
	for _, t := range r.All() {
		out = append(out, Aged{Announcement: t.Announcement, Age: now.Sub(t.ReportedAt)})
	}
	return out
}

// DuePolls returns at most limit targets whose renewals stopped arriving and which the node should poll now. Each is
// returned at most once per AnnounceInterval, until it is removed.
func (r *Registry) DuePolls(limit int) []camphorhinge.Announcement {
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []camphorhinge.Announcement
	for _, e := range r.targets {
		if len(due) >= limit {
			break
		}
		overdue := now.Sub(e.target.ReportedAt) >= PollAfter
		if !overdue || e.target.Leaving || now.Sub(e.polledAt) < camphorhinge.AnnounceInterval {
			continue
		}
		e.polledAt = now
		due = append(due, e.target.Announcement)
	}
	return due
}
