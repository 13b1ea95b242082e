package route

import (
	"fmt"
	"testing"
	"time"

	"example.org/camphorhinge"
)

// BenchmarkPick measures one pick with 64 prefixes, some of them cached, and its bookkeeping.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := &clock{now: camphorhinge.Instant(time.Hour)}
			l := engines(n, c)
			r := newRouter(b, l, c, 1)
			req := request
			for i := range 64 {
				req.Prefixes = append(req.Prefixes, uint64(i))
			}
			for i, e := range l {
				e.Load.Tokens = camphorhinge.Tokens(i * 7919 % 20_000)
				e.Cache = camphorhinge.CacheReport{Seq: 1, Events: []camphorhinge.CacheEvent{{Seq: 1, Prefix: uint64(i % 4096)}}}
				r.ObserveCache(e)
			}
			result := camphorhinge.AttemptResult{Class: camphorhinge.Run, Output: 200}
			b.Run("pick", func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					r.Pick(req)
				}
			})
			b.Run("pick and sent", func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					choice, _ := r.Pick(req)
					done := r.StartAttempt(choice, req)
					done(result)
				}
			})
			b.Run("model on 2 targets", func(b *testing.B) {
				rare := req
				rare.Model = "rare"
				for _, e := range []*camphorhinge.Target{l[0], l[n/2]} {
					e.Models = append(e.Models, "rare")
				}
				b.ReportAllocs()
				for b.Loop() {
					r.Pick(rare)
				}
			})
		})
	}
}
