package claim

import (
	"cmp"
	"container/heap"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"example.org/camphorhinge"
)

// These limits and durations affect how commands apply, so they must be equal on all replicas.
const (
	// maxClaims bounds the stored claims. Further ones are refused, since dropping one would let its request run twice.
	maxClaims = 200_000
	// maxBodyBytes bounds the total size of the stored bodies; further answers are stored without their body.
	maxBodyBytes = 64 << 20
	// revocationRetention is how long the token of a released claim stays revoked, so that a claim applied after its
	// release is not granted. It is far above the time that a proposal may be in flight.
	revocationRetention = 10 * time.Minute
	// maxRevocations bounds the revoked tokens; the oldest is dropped first.
	maxRevocations = 65_536
)

// op selects the operation of a command.
type op string

const (
	opClaim    op = "claim"
	opComplete op = "complete"
	opMarkLost op = "lose"
	opRelease  op = "release"
)

// command is the payload of a log entry of kind CommandClaim.
type command struct {
	Op     op                  `json:"o"`
	Key    Key                 `json:"k"`
	Token  string              `json:"t"`
	Node   camphorhinge.NodeID `json:"n,omitempty"`
	Digest []byte              `json:"d,omitempty"`
	// TimeLeft is the time until the deadline, in milliseconds from the entry's stamp.
	TimeLeft int64 `json:"l,omitempty"`
	// Retention is in milliseconds.
	Retention int64   `json:"p,omitempty"`
	Answer    *Answer `json:"a,omitempty"`
}

// result is the outcome of a command. State is set for a claim, Kind for a refused command.
type result struct {
	State  State   `json:"s,omitempty"`
	Kind   Kind    `json:"e,omitempty"`
	Answer *Answer `json:"a,omitempty"`
}

// claim is unresolved until Answer is set, Lost is true or its deadline has passed.
type claim struct {
	Key    Key                 `json:"k"`
	Token  string              `json:"t"`
	Node   camphorhinge.NodeID `json:"n"`
	Digest []byte              `json:"d"`
	// Deadline and Expiry are entry stamps in milliseconds.
	Deadline int64   `json:"l"`
	Expiry   int64   `json:"x"`
	Lost     bool    `json:"u,omitempty"`
	Answer   *Answer `json:"a,omitempty"`
}

// revocation is the revoked token of a released claim; Expiry is an entry stamp in milliseconds.
type revocation struct {
	Token  string `json:"t"`
	Expiry int64  `json:"x"`
}

// Machine is the replicated state of claims; it implements camphorhinge.Machine. It is safe for concurrent use.
type Machine struct {
	mu     sync.Mutex
	claims map[Key]*claim
	// due is a heap of keys by the expiry of their claims. A later expiry is pushed as a further item; items whose
	// expiry differs from that of the claim are stale and are ignored.
	due         expiries
	bodyBytes   int64
	revocations []revocation
	revoked     map[string]struct{}
}

var _ camphorhinge.Machine = (*Machine)(nil)

// NewMachine creates a Machine without claims.
func NewMachine() *Machine {
	return &Machine{claims: make(map[Key]*claim), revoked: make(map[string]struct{})}
}

// Len returns the number of stored claims.
func (m *Machine) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.claims)
}

// Apply implements camphorhinge.Machine.
func (m *Machine) Apply(e camphorhinge.Entry, encoded []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(e.Stamp)
	var c command
	r := result{Kind: KindCorrupt}
	if json.Unmarshal(encoded, &c) == nil {
		switch c.Op {
		case opClaim:
			r = m.claim(e.Stamp, c)
		case opComplete, opMarkLost:
			r = m.resolve(e.Stamp, c)
		case opRelease:
			r = m.release(e.Stamp, c)
		}
	}
	out, err := json.Marshal(r)
	if err != nil {
		panic("claim: can't encode result: " + err.Error())
	}
	return out
}

// claim grants a claim on a free key, or returns the state of the existing one.
func (m *Machine) claim(stamp int64, c command) result {
	if _, ok := m.revoked[c.Token]; ok {
		return result{Kind: KindNotOwned}
	}
	cl, ok := m.claims[c.Key]
	switch {
	case !ok && len(m.claims) >= maxClaims:
		return result{State: Full}
	case !ok:
		cl = &claim{
			Key: c.Key, Token: c.Token, Node: c.Node, Digest: c.Digest,
			Deadline: stamp + c.TimeLeft, Expiry: stamp + max(c.Retention, c.TimeLeft),
		}
		m.claims[c.Key] = cl
		heap.Push(&m.due, expiry{cl.Expiry, c.Key})
		return result{State: Granted}
	case !slices.Equal(cl.Digest, c.Digest):
		return result{State: Differs}
	case cl.Answer != nil:
		return result{State: Stored, Answer: cl.Answer}
	case cl.Lost || stamp > cl.Deadline:
		return result{State: Lost}
	case cl.Token == c.Token:
		// The owner proposed the same claim again, because the outcome of its last proposal was uncertain.
		return result{State: Granted}
	}
	return result{State: Busy}
}

// resolve records the outcome reported by the owner. A stored answer is not changed any more.
func (m *Machine) resolve(stamp int64, c command) result {
	cl, ok := m.claims[c.Key]
	if !ok || cl.Token != c.Token {
		return result{Kind: KindNotOwned}
	}
	if cl.Answer != nil {
		return result{}
	}
	if c.Op == opMarkLost {
		cl.Lost = true
	} else if cl.Answer = c.Answer; cl.Answer == nil {
		cl.Answer = &Answer{Omitted: true}
	}
	if cl.Answer != nil {
		if n := int64(len(cl.Answer.Body)); n > BodyLimit || m.bodyBytes+n > maxBodyBytes {
			cl.Answer.Body, cl.Answer.Omitted = nil, true
		}
		m.bodyBytes += int64(len(cl.Answer.Body))
	}
	cl.Expiry = max(cl.Expiry, stamp+c.Retention)
	heap.Push(&m.due, expiry{cl.Expiry, c.Key})
	return result{}
}

// release revokes the token of the command, and removes its claim if no outcome is recorded. It revokes the token even
// if the key has no claim, since a delayed claim may be applied later.
func (m *Machine) release(stamp int64, c command) result {
	if _, ok := m.revoked[c.Token]; !ok {
		if len(m.revocations) >= maxRevocations {
			m.dropRevocations(1)
		}
		m.revocations = append(m.revocations, revocation{c.Token, stamp + revocationRetention.Milliseconds()})
		m.revoked[c.Token] = struct{}{}
	}
	cl, ok := m.claims[c.Key]
	if !ok || cl.Token != c.Token || cl.Answer != nil || cl.Lost {
		return result{Kind: KindNotOwned}
	}
	delete(m.claims, c.Key)
	return result{}
}

// expire drops the claims and revocations that are past their retention.
func (m *Machine) expire(stamp int64) {
	for len(m.due) > 0 && m.due[0].at <= stamp {
		x, ok := heap.Pop(&m.due).(expiry)
		if !ok {
			panic("heap of expiries holds another type")
		}
		if cl := m.claims[x.key]; cl != nil && cl.Expiry == x.at {
			if cl.Answer != nil {
				m.bodyBytes -= int64(len(cl.Answer.Body))
			}
			delete(m.claims, x.key)
		}
	}
	n := 0
	for n < len(m.revocations) && m.revocations[n].Expiry <= stamp {
		n++
	}
	m.dropRevocations(n)
}

// dropRevocations drops the n oldest revocations.
func (m *Machine) dropRevocations(n int) {
	for _, v := range m.revocations[:n] {
		delete(m.revoked, v.Token)
	}
	m.revocations = slices.Delete(m.revocations, 0, n)
}

// snapshot is the encoded state; claims are sorted by key.
type snapshot struct {
	Claims      []claim      `json:"claims"`
	Revocations []revocation `json:"voids"`
}

// Snapshot implements camphorhinge.Machine.
func (m *Machine) Snapshot() ([]byte, error) { return m.Freeze()() }

// Freeze copies the state and returns a function that encodes the copy; that function may run concurrently with other
// calls. Encoding the claims of one day takes seconds, copying them a few milliseconds.
func (m *Machine) Freeze() func() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := snapshot{Claims: make([]claim, 0, len(m.claims)), Revocations: slices.Clone(m.revocations)}
	for _, cl := range m.claims {
		s.Claims = append(s.Claims, *cl)
	}
	return s.encode
}

func (s snapshot) encode() ([]byte, error) {
	slices.SortFunc(s.Claims, func(a, b claim) int {
		return cmp.Or(cmp.Compare(a.Key.Workspace, b.Key.Workspace), cmp.Compare(a.Key.Service, b.Key.Service),
			cmp.Compare(a.Key.Key, b.Key.Key))
	})
	out, err := json.Marshal(s)
	if err != nil {
		return nil, &Error{Op: "snapshot", Kind: KindCorrupt, Err: err}
	}
	return out, nil
}

// Restore implements camphorhinge.Machine.
func (m *Machine) Restore(encoded []byte) error {
	if len(encoded) == 0 {
		encoded = []byte("{}")
	}
	var s snapshot
	if err := json.Unmarshal(encoded, &s); err != nil {
		return &Error{Op: "restore", Kind: KindCorrupt, Err: err}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.claims, m.due, m.bodyBytes = make(map[Key]*claim, len(s.Claims)), nil, 0
	for i := range s.Claims {
		cl := &s.Claims[i]
		m.claims[cl.Key] = cl
		m.due = append(m.due, expiry{cl.Expiry, cl.Key})
		if cl.Answer != nil {
			m.bodyBytes += int64(len(cl.Answer.Body))
		}
	}
	heap.Init(&m.due)
	m.revocations, m.revoked = s.Revocations, make(map[string]struct{}, len(s.Revocations))
	for _, v := range s.Revocations {
		m.revoked[v.Token] = struct{}{}
	}
	return nil
}

// expiry is an item of the heap: a key and the expiry of its claim when the item was pushed.
type expiry struct {
	at  int64
	key Key
}

// expiries implements heap.Interface.
type expiries []expiry

func (x expiries) Len() int           { return len(x) }
func (x expiries) Less(i, j int) bool { return x[i].at < x[j].at }
func (x expiries) Swap(i, j int)      { x[i], x[j] = x[j], x[i] }

// Push implements heap.Interface.
func (x *expiries) Push(v any) {
	if e, ok := v.(expiry); ok {
		*x = append(*x, e)
	}
}

// Pop implements heap.Interface.
func (x *expiries) Pop() any {
	last := (*x)[len(*x)-1]
	*x = (*x)[:len(*x)-1]
	return last
}
