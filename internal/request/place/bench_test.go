package place

import "testing"

// BenchmarkPlace measures one placement among the engines of a large site.
func BenchmarkPlace(b *testing.B) {
	f := newFleet(68, 22, false)
	for i := range 200 {
		f.submit(i%3, Segment{Hash: uint64(i % 50), Tokens: 13_000}, Segment{Hash: uint64(1000 + i), Tokens: 3000})
	}
	req := Request{
		Service: "s", Engine: f.engine, Segments: []Segment{{Hash: 7, Tokens: 13_000}, {Hash: 5000, Tokens: 3000}}, Prompt: 16_000, Output: 20,
	}
	for b.Loop() {
		p, ok := f.placer.Place(f.now, f.live, req)
		if !ok {
			b.Fatal("no target")
		}
		p.Close(f.now)
	}
}
