package workload

import (
	"time"

	"example.org/camphorhinge"
)

// WrapRouter returns a router that counts the requests in m and leaves each choice to inner.
//
// Only requests that name a model count. A request counts at a choice without excluded targets; a retry that starts
// over with all targets counts again, which the retry budget limits to a tenth of the requests.
func WrapRouter(inner camphorhinge.Router, m *Meter) camphorhinge.Router {
	return &router{inner: inner, meter: m}
}

type router struct {
	inner camphorhinge.Router
	meter *Meter
}

// Pick implements camphorhinge.Router.
func (r *router) Pick(req camphorhinge.RouteRequest) (camphorhinge.RouteChoice, bool) {
	choice, ok := r.inner.Pick(req)
	if req.Model != "" && len(req.Exclude) == 0 {
		r.meter.count(req.Service, func(a *Amounts) {
			a.Requests++
			a.Prompt += req.Prompt
			a.AllowedOutput += req.Output
			if !ok {
				a.Refused++
			}
		})
	}
	return choice, ok
}

// StartAttempt implements camphorhinge.Router.
func (r *router) StartAttempt(choice camphorhinge.RouteChoice, req camphorhinge.RouteRequest) func(camphorhinge.AttemptResult) {
	return r.meter.trackAttempt(req, r.inner.StartAttempt(choice, req))
}

// PickDecode implements camphorhinge.Router; the request was counted at its first choice.
func (r *router) PickDecode(req camphorhinge.RouteRequest, from *camphorhinge.Target) (camphorhinge.RouteChoice, bool) {
	return r.inner.PickDecode(req, from)
}

// StartDecodeAttempt implements camphorhinge.Router.
func (r *router) StartDecodeAttempt(choice camphorhinge.RouteChoice, req camphorhinge.RouteRequest) func(camphorhinge.AttemptResult) {
	return r.meter.trackAttempt(req, r.inner.StartDecodeAttempt(choice, req))
}

// jitterer is an optional ability of an Admission: a random delay before a repeated attempt.
type jitterer interface {
	Jitter() time.Duration
}

// WrapAdmission returns an Admission that counts the refusals of inner in m. It has the method Jitter if inner has it.
func WrapAdmission(inner camphorhinge.Admission, m *Meter) camphorhinge.Admission {
	a := &admission{Admission: inner, meter: m}
	if j, ok := inner.(jitterer); ok {
		return struct {
			*admission
			jitterer
		}{a, j}
	}
	return a
}

type admission struct {
	camphorhinge.Admission
	meter *Meter
}

// Admit implements camphorhinge.Admission.
func (w *admission) Admit(req camphorhinge.AdmitRequest) (func(), *camphorhinge.Refusal) {
	release, refusal := w.Admission.Admit(req)
	if refusal != nil {
		w.meter.countRefusal(req, refusal.Kind == "limit")
	}
	return release, refusal
}

// countRefusal counts a refusal that follows the choice of a target. It skips requests to plain services, which have no
// amounts, and a refusal right after a report took the amounts, which is rare.
func (m *Meter) countRefusal(req camphorhinge.AdmitRequest, limit bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.services[req.Service]
	if a == nil {
		return
	}
	if !limit {
		a.Refused++
		return
	}
	a.Limited++
	a.LimitedTokens += req.Tokens
}
