package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
)

// TestHerding guards against nodes that all send to the target that was idle in the last report. With the numbers of
// nodes and engines of both customers and a load of 70 %, no engine may get more than twice its even share of the work
// between two reports, and no engine's queue may grow to more than twice the mean plus one second of work.
func TestHerding(t *testing.T) {
	const (
		drain = 4000.0 // tokens per second of one engine
		step  = 10 * time.Millisecond
		lag   = 500 * time.Millisecond
	)
	tests := []struct {
		name           string
		nodes, engines int
	}{
		{"asesor-lm", 7, 18},
		{"asistente", 6, 9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const seed = 20
			rng := rand.New(rand.NewPCG(seed, 0))
			c := &clock{now: camphorhinge.Instant(time.Hour)}
			l := engines(tt.engines, c)
			var routers []*Router
			for i := range tt.nodes {
				r := newRouter(t, l, c, uint64(seed+i))
				r.cfg.Nodes = func() int { return tt.nodes }
				routers = append(routers, r)
			}
			req := camphorhinge.RouteRequest{Service: "asesor-lm", Model: "m", Prompt: 150, Output: 50}
			type pending struct {
				left float64
				done func(camphorhinge.AttemptResult)
			}
			queues := make([][]*pending, tt.engines)
			got := make([]float64, tt.engines) // tokens since the last report
			history := make([][]camphorhinge.Load, tt.engines)
			perStep := 0.7 * drain * float64(tt.engines) * step.Seconds() / float64(req.Prompt+req.Output)
			worst, worstQueue, owed := 0.0, 0.0, 0.0
			load := func(i int) float64 {
				sum := 0.0
				for _, p := range queues[i] {
					sum += p.left
				}
				return sum
			}
			for tick := 1; tick <= 6000; tick++ {
				c.now = c.now.Add(step)
				for owed += perStep; owed >= 1; owed-- {
					r := routers[rng.IntN(len(routers))]
					choice, ok := r.Pick(req)
					require.True(t, ok)
					i := 0
					for l[i] != choice.Target {
						i++
					}
					queues[i] = append(queues[i], &pending{200, r.StartAttempt(choice, req)})
					got[i] += 200
				}
				mean := 0.0
				for i := range l {
					for work := drain * step.Seconds(); work > 0 && len(queues[i]) > 0; {
						p := queues[i][0]
						did := min(work, p.left)
						work -= did
						if p.left -= did; p.left <= 0 {
							queues[i] = queues[i][1:]
							p.done(camphorhinge.AttemptResult{Class: camphorhinge.Run, Output: 50})
						}
					}
					sum := load(i)
					mean += sum / float64(tt.engines)
					history[i] = append(history[i], camphorhinge.Load{
						Running: len(queues[i]), Tokens: camphorhinge.Tokens(sum), Blocks: 256, FreeBlocks: 256,
					})
				}
				for i := range l {
					if tick > 500 {
						worstQueue = max(worstQueue, load(i)-2*mean)
					}
					// Reports are sent each second, at a different time for each engine, and lag behind.
					if (tick+i*100/tt.engines)%100 != 0 {
						continue
					}
					if tick > 500 {
						worst = max(worst, got[i]/(0.7*drain))
					}
					got[i] = 0
					old := history[i][max(0, len(history[i])-1-int(lag/step))]
					old.Age = lag.Milliseconds()
					l[i].Load, l[i].ReportedAt = old, c.now
				}
			}
			t.Logf("seed %d: most work of one engine between two reports %.2f of its even share, longest queue minus twice the mean %.0f tokens", seed, worst, worstQueue)
			require.LessOrEqual(t, worst, 2.0, "seed %d", seed)
			require.LessOrEqual(t, worstQueue, drain, "seed %d", seed)
		})
	}
}

// TestFastEnginesShareTheWork guards against a measured engine that gets all requests because it turned out faster than
// the initial estimate, while the unmeasured others keep that estimate.
func TestFastEnginesShareTheWork(t *testing.T) {
	for seed := range uint64(20) {
		for engine, n := range fastEngines(t, seed) {
			require.LessOrEqual(t, n, fastRequests/2, "seed %d: %s got more than twice the even share", seed, engine)
		}
	}
}

// fastRequests is the number of requests to the four fast engines.
const fastRequests = 1200

// fastEngines counts the choices among four engines that take 1 ms per token instead of the estimated 20 ms, with 8
// requests in flight.
func fastEngines(t *testing.T, seed uint64) map[camphorhinge.TargetName]int {
	t.Helper()
	const fleet, window = 4, 8
	c := &clock{now: camphorhinge.Instant(time.Hour)}
	l := engines(fleet, c)
	r := newRouter(t, l, c, seed)
	got := map[camphorhinge.TargetName]int{}
	var running []func(camphorhinge.AttemptResult)
	for range fastRequests {
		choice, ok := r.Pick(request)
		require.True(t, ok)
		running = append(running, r.StartAttempt(choice, request))
		got[choice.Target.Name]++
		c.now = c.now.Add(250 * time.Millisecond / window)
		if len(running) == window {
			running[0](camphorhinge.AttemptResult{Class: camphorhinge.Run, Output: 200, FirstByte: 50 * time.Millisecond})
			running = running[1:]
		}
		for _, e := range l {
			e.ReportedAt = c.now
		}
	}
	return got
}
