package admit

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"example.org/camphorhinge"
)

// fixture provides a clock, a fixed limit and the demand reported by other nodes; reported is false when there is none.
type fixture struct {
	now      camphorhinge.Instant
	limit    Limit
	nodes    int
	others   Limit
	reported bool
}

func (f *fixture) Now() camphorhinge.Instant { return f.now }
func (f *fixture) Limit(_ camphorhinge.WorkspaceName, p camphorhinge.Priority) (camphorhinge.Priority, Limit) {
	return p, f.limit
}
func (f *fixture) Nodes() int { return f.nodes }
func (f *fixture) Demand(camphorhinge.WorkspaceName, camphorhinge.Priority) (Limit, int) {
	if !f.reported {
		return Limit{}, 0
	}
	return f.others, f.nodes - 1
}

func (f *fixture) admission(inFlight int) *Admission {
	return New(Config{Clock: f, Limits: f, Peers: f, Metrics: metrics.NewSet(), Seed: 1, InFlight: inFlight})
}

func newRequest(p camphorhinge.Priority, tokens camphorhinge.Tokens, expected time.Duration) camphorhinge.AdmitRequest {
	return camphorhinge.AdmitRequest{
		Workspace: "w", Priority: p, Tokens: tokens, Expected: expected, Deadline: 10 * time.Second,
	}
}

// TestRates checks the rate that a node admits over a minute of steady demand. It guards against limits that are not
// enforced, enforced twice, or assigned to a node without demand. The minute starts after six time constants of the
// averaged demand.
func TestRates(t *testing.T) {
	for _, tc := range []struct {
		name    string
		fixture fixture
		tokens  camphorhinge.Tokens
		// perSecond is the demand on this node, want the number of admitted requests per second.
		perSecond int
		want      float64
	}{
		{"no limit", fixture{nodes: 4}, 100, 50, 50},
		{"below the share", fixture{nodes: 4, limit: Limit{Requests: 40}}, 100, 5, 5},
		{"even share without reports", fixture{nodes: 4, limit: Limit{Requests: 40}}, 100, 50, 10},
		{"all demand is here", fixture{nodes: 4, limit: Limit{Requests: 40}, reported: true}, 100, 50, 37},
		{"a quarter of the demand is here", fixture{nodes: 4, limit: Limit{Requests: 40}, reported: true, others: Limit{Requests: 150}}, 100, 50, 10},
		{"tokens", fixture{nodes: 1, limit: Limit{Tokens: 1000}}, 100, 50, 10},
		{"requests above the burst of tokens", fixture{nodes: 1, limit: Limit{Tokens: 1000}}, 5000, 10, 0.2},
		{"both", fixture{nodes: 1, limit: Limit{Requests: 3, Tokens: 1000}}, 100, 50, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := tc.fixture
			a := w.admission(0)
			admitted := 0
			const warm, seconds = 30, 60
			for i := range (warm + seconds) * tc.perSecond {
				if i == warm*tc.perSecond {
					admitted = 0
				}
				w.now = w.now.Add(time.Second / time.Duration(tc.perSecond))
				release, refusal := a.Admit(newRequest(5, tc.tokens, 0))
				if refusal == nil {
					admitted++
					release()
					continue
				}
				require.Equal(t, "limit", refusal.Kind)
				require.Positive(t, refusal.RetryAfter)
			}
			// The burst of one second and one further request may be admitted on top.
			require.GreaterOrEqual(t, float64(admitted), tc.want*seconds-1)
			require.LessOrEqual(t, float64(admitted), tc.want*(seconds+1)+1)
		})
	}
}

// TestRetryAfter guards against a wrong RetryAfter: a retry at that time must be admitted, an earlier one refused.
func TestRetryAfter(t *testing.T) {
	w := &fixture{nodes: 1, limit: Limit{Requests: 2, Tokens: 500}}
	a := w.admission(0)
	for range 3 {
		_, refusal := a.Admit(newRequest(5, 1500, 0))
		require.Nil(t, refusal)
		_, refusal = a.Admit(newRequest(5, 1500, 0))
		require.Equal(t, "limit", refusal.Kind)
		w.now = w.now.Add(refusal.RetryAfter - time.Millisecond)
		_, early := a.Admit(newRequest(5, 1500, 0))
		require.NotNil(t, early)
		w.now = w.now.Add(2 * time.Millisecond)
	}
}

// TestShed checks which priorities are refused as the load rises: the lowest first, and the highest only at the bound.
func TestShed(t *testing.T) {
	for _, tc := range []struct {
		name     string
		running  int
		tokens   camphorhinge.Tokens
		expected time.Duration
		// from is the lowest priority that is admitted, 10 for none.
		from camphorhinge.Priority
		kind string
	}{
		{"idle", 0, 1, 0, 0, ""},
		{"half the deadline", 0, 1, 5 * time.Second, 0, ""},
		{"three quarters of the deadline", 0, 1, 7500 * time.Millisecond, 5, "shed"},
		{"at the deadline", 0, 1, 10 * time.Second, 9, "shed"},
		{"past the deadline", 0, 1, 10*time.Second + 1, 10, "deadline"},
		{"half full", 50, 1, 0, 1, "shed"},
		{"nearly full", 99, 1, 0, 9, "shed"},
		{"full", 100, 1, 0, 10, "shed"},
		{"many tokens in flight", 1, DefaultTokens * 3 / 4, 0, 5, "shed"},
		{"one request above the bound of tokens", 0, DefaultTokens * 2, 0, 0, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := &fixture{nodes: 1}
			a := w.admission(100)
			for range tc.running {
				_, refusal := a.Admit(newRequest(9, 0, 0))
				require.Nil(t, refusal)
			}
			for p := range camphorhinge.MaxPriority + 1 {
				release, refusal := a.Admit(newRequest(p, tc.tokens, tc.expected))
				if p >= tc.from {
					require.Nil(t, refusal, "priority %d", p)
					release()
					release()
					continue
				}
				require.NotNil(t, refusal, "priority %d", p)
				require.Equal(t, tc.kind, refusal.Kind)
				require.Positive(t, refusal.RetryAfter)
			}
			require.Equal(t, tc.running, a.running, "releases count once")
		})
	}
}

// TestRetryBudget guards against a retry storm: at any traffic, the retries in each window of 10 s stay within 10 % of
// the requests admitted or running, or within the minimum of 3.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &fixture{nodes: 1}
		a := w.admission(1 << 20)
		rate := rapid.IntRange(0, 60).Draw(t, "requests per second")
		type event struct{ second, admitted, retries int }
		var log []event
		for s := range rapid.IntRange(1, 40).Draw(t, "seconds") {
			e := event{second: s}
			for range rate {
				release, refusal := a.Admit(newRequest(9, 1, 0))
				require.Nil(t, refusal)
				release()
				e.admitted++
			}
			for range rapid.IntRange(0, 30).Draw(t, "retries wanted") {
				if a.Retry() {
					e.retries++
				}
			}
			log = append(log, e)
			admitted, retries := 0, 0
			for _, e := range log {
				if s-e.second < budgetSlots {
					admitted, retries = admitted+e.admitted, retries+e.retries
				}
			}
			require.LessOrEqual(t, float64(retries), max(0.1*float64(admitted), 3))
			require.Less(t, a.Jitter(), 50*time.Millisecond)
			w.now = w.now.Add(time.Second)
		}
	})
}
