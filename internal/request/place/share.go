package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"example.org/camphorhinge"
)

const (
	// shareHalfLife is the time in which the lead of a workspace and the counts of its requests lose half of their weight.
	shareHalfLife = 4 * time.Second
	// recentHalfLife is that of the rate at which requests of a workspace are placed, for the time that further ones wait.
	recentHalfLife = 500 * time.Millisecond
	// shareRetention is the time without requests after which the account of a workspace is dropped.
	shareRetention = 5 * time.Second
	// shareInterval is the least time between two updates of all accounts of a group.
	shareInterval = 100 * time.Millisecond
	// maxAccounts bounds the accounts of a group; further workspaces share one.
	maxAccounts = 1000
	// minWorkspaceShare is the least share of a workspace's requests that are placed, relative to that of all workspaces. One below it
	// goes first. It exceeds the required quarter by the error of counts over a few seconds.
	minWorkspaceShare = 0.35
	// maxShareRetryAfter bounds the retry-after time of a workspace above its share. It is below refusalRetention, so that a request
	// that comes again is known.
	maxShareRetryAfter = 5 * time.Second
)

// shareKey selects the requests among which engine time is shared: those of one service and rank. The rank is allRanks for the sums of a
// service.
type shareKey struct {
	service camphorhinge.ServiceName
	rank    int
}

const allRanks = -1

// shareGroup holds the accounts of the workspaces with recent requests of one shareKey. Shares go by the expected engine time of placed
// requests, as in start-time fair queueing: the virtual time is the least lead of the waiting workspaces, to which all leads are
// relative, and a workspace without recent work starts there.
type shareGroup struct {
	accounts map[camphorhinge.WorkspaceName]*account
	// arrivals and placements are the decayed counts of all requests.
	arrivals, placements float64
	updatedAt            camphorhinge.Instant
	// waiting is the number of workspaces with waiting requests.
	waiting int
	// contendedSince is when several began to wait, and contendedAt when they did last.
	contendedSince, contendedAt camphorhinge.Instant
}

// account is the share of one workspace in a shareGroup.
type account struct {
	group *shareGroup
	// total is the workspace's account for all ranks; it has no lead, and its arrivals are without repeated requests, so that no
	// workspace gets before urgent ranks by repeating its own.
	total *account
	// lead is the engine time, in milliseconds, by which the workspace is ahead of the waiting one that has had least.
	lead float64
	// arrivals and placements are the decayed counts of requests, recent that of placements with recentHalfLife.
	arrivals, placements, recent float64
	usedAt                       camphorhinge.Instant
	// waiting is the number of waiting requests.
	waiting int
	// ahead and planned are the number and the expected engine time of waiting requests that the current Run has gone through.
	ahead   int
	planned float64
}

// shares holds all groups.
type shares map[shareKey]*shareGroup

// account returns the account of a request's workspace in the rank of the request.
func (s shares) account(now camphorhinge.Instant, req *Request) *account {
	a := s.group(now, shareKey{req.Service, req.Rank}).account(now, req.Workspace)
	if a.total == nil {
		a.total = s.group(now, shareKey{req.Service, allRanks}).account(now, req.Workspace)
	}
	a.use(now)
	return a
}

func (s shares) group(now camphorhinge.Instant, key shareKey) *shareGroup {
	g := s[key]
	if g == nil {
		g = &shareGroup{accounts: map[camphorhinge.WorkspaceName]*account{}, updatedAt: now}
		s[key] = g
	}
	g.update(now)
	return g
}

func (g *shareGroup) account(now camphorhinge.Instant, name camphorhinge.WorkspaceName) *account {
	a := g.accounts[name]
	if a == nil && len(g.accounts) >= maxAccounts {
		name = ""
		a = g.accounts[name]
	}
	if a == nil {
		a = &account{group: g, usedAt: now}
		g.accounts[name] = a
	}
	return a
}

// update reduces leads and counts by the time since the last update, and drops accounts without recent requests.
func (g *shareGroup) update(now camphorhinge.Instant) {
	age := now.Sub(g.updatedAt)
	if age < shareInterval {
		return
	}
	g.updatedAt = now
	keep, keepRecent := decay(age, shareHalfLife), decay(age, recentHalfLife)
	g.arrivals *= keep
	g.placements *= keep
	for name, a := range g.accounts {
		a.lead *= keep
		a.arrivals *= keep
		a.placements *= keep
		a.recent *= keepRecent
		if a.waiting == 0 && now.Sub(a.usedAt) > shareRetention {
			delete(g.accounts, name)
		}
	}
}

// use keeps the account.
func (a *account) use(now camphorhinge.Instant) { a.usedAt, a.total.usedAt = now, now }

// arrive counts a request; again is set for one that was refused a short time ago.
func (a *account) arrive(again bool) {
	a.arrivals++
	a.group.arrivals++
	if !again {
		a.total.arrivals++
		a.total.group.arrivals++
	}
}

// startWaiting and stopWaiting record that a request joins and leaves the queue.
func (a *account) startWaiting() {
	for _, x := range []*account{a, a.total} {
		if x.waiting == 0 {
			x.group.waiting++
		}
		x.waiting++
	}
}

func (a *account) stopWaiting() {
	for _, x := range []*account{a, a.total} {
		x.waiting--
		if x.waiting == 0 {
			x.group.waiting--
		}
	}
}

// place records the placement of a request with the given engine time.
func (a *account) place(work float64) {
	a.recent++
	for _, x := range []*account{a, a.total} {
		x.placements++
		x.group.placements++
	}
	// The virtual time advances to the start of the request, but not beyond that of any waiting workspace.
	advance := a.lead
	if a.group.waiting > 0 {
		for _, other := range a.group.accounts {
			if other.waiting > 0 {
				advance = min(advance, other.lead)
			}
		}
	}
	if advance > 0 {
		for _, other := range a.group.accounts {
			other.lead = max(other.lead-advance, 0)
		}
	}
	a.lead += work
}

// contended reports whether several workspaces wait.
func (g *shareGroup) contended() bool { return g.waiting > 1 }

// observe records whether several workspaces wait now.
func (g *shareGroup) observe(now camphorhinge.Instant) {
	if !g.contended() {
		return
	}
	if now.Sub(g.contendedAt) > recentHalfLife {
		g.contendedSince = now
	}
	g.contendedAt = now
}

// settled reports whether several workspaces have waited for long enough to tell at which rates their requests are placed.
func (g *shareGroup) settled() bool { return g.contendedAt.Sub(g.contendedSince) >= recentHalfLife }

// starved reports whether the share of the workspace's requests that are placed is below minWorkspaceShare.
func (a *account) starved() bool {
	return a.placements*a.group.arrivals < minWorkspaceShare*a.arrivals*a.group.placements
}

// excess returns how many requests of the workspace come for each one that is placed, relative to all workspaces of the rank, and at
// least 1.
func (a *account) excess() float64 {
	if !a.group.contended() || a.lead == 0 {
		return 1
	}
	own, all := (a.arrivals+1)/(a.placements+1), (a.group.arrivals+1)/(a.group.placements+1)
	return max(own/all, 1)
}

// aboveShare reports whether the workspace has had more than another one that waits, and sends more requests than are placed.
func (a *account) aboveShare() bool { return a.excess() > 1 && a.group.settled() && !a.starved() }

// wait returns the expected time until the requests of the workspace that the current Run has gone through are placed: at the rate of its
// recent placements or, if that is higher, at an equal part of the given rate of its rank, or at what others leave of it.
func (a *account) wait(perSecond float64) time.Duration {
	others := (a.group.arrivals - a.arrivals) * math.Ln2 / shareHalfLife.Seconds()
	own := max(a.recent*math.Ln2/recentHalfLife.Seconds(), perSecond/float64(max(a.group.waiting, 1)), perSecond-others, 1)
	return time.Duration(float64(a.ahead) / own * float64(time.Second))
}

// Share is what a workspace sends and gets, for logs.
type Share struct {
	Workspace camphorhinge.WorkspaceName
	// Waiting is the number of waiting requests. Arrivals and Placed are requests in a second, over some seconds; Arrivals are
	// without repeated ones.
	Waiting          int
	Arrivals, Placed float64
	// Starved is set while too small a part of its requests is placed, so that they go first.
	Starved bool
}

// Shares returns the workspaces of a service with most waiting requests, at most n, if several wait.
func (q *Queue) Shares(service camphorhinge.ServiceName, n int) []Share {
	g := q.shares[shareKey{service, allRanks}]
	if g == nil || !g.contended() {
		return nil
	}
	perSecond := math.Ln2 / shareHalfLife.Seconds()
	var out []Share
	for name, a := range g.accounts {
		if a.waiting > 0 {
			out = append(out, Share{name, a.waiting, a.arrivals * perSecond, a.placements * perSecond, a.starved()})
		}
	}
	slices.SortFunc(out, func(a, b Share) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(a.Workspace, b.Workspace))
	})
	return out[:min(len(out), n)]
}

// Starved returns the number of workspaces with waiting requests of which too small a part is placed.
func (q *Queue) Starved() (n int) {
	for key, g := range q.shares {
		if key.rank != allRanks || !g.contended() {
			continue
		}
		for _, a := range g.accounts {
			if a.waiting > 0 && a.starved() {
				n++
			}
		}
	}
	return n
}
