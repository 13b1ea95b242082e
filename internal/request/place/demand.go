package place

import (
	"math"
	"time"

	"example.org/camphorhinge"
)

const (
	// demandTime is the time constant over which the work of requests is averaged. It covers the usual swings between
	// long prompts and long answers, so that roles don't follow each of them.
	demandTime = 6 * time.Second
	// demandSettled is the time after the first request from which the average is used.
	demandSettled = 2 * time.Second
	// demandIdle is the time without requests after which nothing is known of the demand.
	demandIdle = 15 * time.Second
)

// Work is the work of a service's engines that its requests need, served or not, by the measured speeds.
type Work struct {
	// Generating is the mean number of requests that generate tokens at once.
	Generating float64
	// Prefilling is the mean number of engines that prefill at once, and Transferring that of engines whose links
	// transfer KV caches.
	Prefilling, Transferring float64
	// Age is the time since the first request.
	Age time.Duration
}

// demand averages the work of a service's requests.
type demand struct {
	// Seconds of work, each decayed by its age.
	generating, prefilling, transferring float64
	began, at                            camphorhinge.Instant
}

// decay reduces the sums by the time since the last change.
func (d *demand) decay(now camphorhinge.Instant) {
	if d.began == 0 || now.Sub(d.at) > demandIdle {
		*d = demand{began: now}
	}
	keep := math.Exp(-now.Sub(d.at).Seconds() / demandTime.Seconds())
	if d.at == 0 {
		keep = 0
	}
	d.generating *= keep
	d.prefilling *= keep
	d.transferring *= keep
	d.at = now
}

func (p *Placer) demandOf(service camphorhinge.ServiceName) *demand {
	d := p.demands[service]
	if d == nil {
		d = &demand{}
		p.demands[service] = d
	}
	return d
}

// recordDemand records the work that a new request needs at least: the prefill of its private segment and its output.
// The caller holds the lock.
func (p *Placer) recordDemand(now camphorhinge.Instant, req *Request) {
	d := p.demandOf(req.Service)
	d.decay(now)
	_, shared := req.shared()
	d.prefilling += p.speedOf(req.Service, prefillWork).perToken * float64(max(req.Prompt-shared, 0)) / 1000
	d.generating += p.speedOf(req.Service, decodeWork).estimate(float64(req.Output)) / 1000
}

// recordPlanDemand records the further work of a plan: the prefill of shared segments that are not cached, and
// transfers. The caller holds the lock.
func (p *Placer) recordPlanDemand(now camphorhinge.Instant, plan Plan, req *Request) {
	d := p.demandOf(req.Service)
	d.decay(now)
	_, shared := req.shared()
	missing := max(plan.Uncached-max(req.Prompt-shared, 0), 0)
	d.prefilling += p.speedOf(req.Service, prefillWork).perToken * float64(missing) / 1000
	if plan.Prefill != nil {
		d.transferring += transferTime(req.Prompt, req.Engine, plan.Prefill, plan.Serve).Seconds()
	}
}

// engineTime returns the time, in milliseconds, that a request takes of the engines: that of its prefill, and of its decode the part that
// its slot is of an engine. The caller holds the lock.
func (p *Placer) engineTime(req *Request, uncached camphorhinge.Tokens) float64 {
	if req.Engine == nil {
		return 1
	}
	decode := p.speedOf(req.Service, decodeWork).estimate(float64(req.Output)) / float64(max(req.Engine.Slots, 1))
	return p.speedOf(req.Service, prefillWork).estimate(float64(max(uncached, 0))) + decode
}

// Work returns the measured work of a service's engines; ok is false until it has been measured.
func (p *Placer) Work(now camphorhinge.Instant, service camphorhinge.ServiceName) (w Work, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.demands[service]
	if d == nil || now.Sub(d.at) > demandIdle || now.Sub(d.began) < demandSettled {
		return Work{}, false
	}
	d.decay(now)
	// Soon after the first request, the sums cover less than demandTime.
	span := demandTime.Seconds() * (1 - math.Exp(-now.Sub(d.began).Seconds()/demandTime.Seconds()))
	return Work{Generating: d.generating / span, Prefilling: d.prefilling / span, Transferring: d.transferring / span, Age: now.Sub(d.began)}, true
}
