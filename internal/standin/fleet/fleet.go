package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
)

const (
	// announceGroups is the number of groups of engines, whose announcements are spread evenly over one interval like
	// those of engines that started at different times.
	announceGroups = 50
	// maxPostsPerNode limits the concurrent announcements to one node.
	maxPostsPerNode = 8
	// postTimeout is the same as that of the stand-in engine.
	postTimeout = 400 * time.Millisecond
)

// Config describes the engines.
type Config struct {
	Service camphorhinge.ServiceName
	Model   camphorhinge.ModelName
	// Zones are assigned to the engines in rotation.
	Zones []string
	// Announce lists base URLs of target ports. Each engine announces itself to one of them, as behind a load balancer.
	Announce []string
	// Targets is the number of engines.
	Targets int
}

// Fleet announces the engines.
type Fleet struct {
	cfg         Config
	client      *http.Client
	incarnation camphorhinge.Incarnation
}

// Kind classifies an Error.
type Kind string

// KindConfig marks an invalid Config.
const KindConfig Kind = "config"

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("fleet: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// New returns a Fleet for a valid Config, which needs at least one target, one node and one zone.
func New(cfg Config) (*Fleet, error) {
	if cfg.Targets < 1 || len(cfg.Announce) == 0 || len(cfg.Zones) == 0 {
		return nil, &Error{Op: "new", Kind: KindConfig, Err: fmt.Errorf("%d targets, %d nodes, %d zones; expected at least 1 of each",
			cfg.Targets, len(cfg.Announce), len(cfg.Zones))}
	}
	return &Fleet{
		cfg:         cfg,
		client:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxPostsPerNode}, Timeout: postTimeout},
		incarnation: camphorhinge.Incarnation(time.Now().UnixMilli()),
	}, nil
}

// Run announces each engine once in each AnnounceInterval until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	defer f.client.CloseIdleConnections()
	ticker := time.NewTicker(camphorhinge.AnnounceInterval / announceGroups)
	defer ticker.Stop()
	for tick := 0; ; tick++ {
		f.announce(ctx, tick)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// announce posts the announcements of the group whose turn it is at the tick.
func (f *Fleet) announce(ctx context.Context, tick int) {
	var g errgroup.Group
	g.SetLimit(maxPostsPerNode * len(f.cfg.Announce))
	for i := tick % announceGroups; i < f.cfg.Targets; i += announceGroups {
		g.Go(func() error {
			f.post(ctx, i, camphorhinge.Sequence(tick/announceGroups+1))
			return nil
		})
	}
	_ = g.Wait() // The functions return no error.
}

// post sends one announcement. An unreachable node misses it, as with a real target.
func (f *Fleet) post(ctx context.Context, i int, seq camphorhinge.Sequence) {
	body, err := json.Marshal(f.announcement(i, seq))
	if err != nil {
		panic("encode announcement: " + err.Error()) // An announcement has only marshalable fields.
	}
	url := strings.TrimSuffix(f.cfg.Announce[i%len(f.cfg.Announce)], "/") + "/v1/announce"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := f.client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
}

// announcement returns the state of a busy engine, which differs from one announcement to the next.
func (f *Fleet) announcement(i int, seq camphorhinge.Sequence) camphorhinge.Announcement {
	const (
		// Ports from 1 to 1,024 have no listener on the machine, so that a poll fails at once.
		ports  = 1024
		batch  = 32
		blocks = 256
	)
	running := (i + int(seq)) % batch
	return camphorhinge.Announcement{
		Name:    camphorhinge.TargetName(fmt.Sprintf("engine-%05d", i)),
		Service: f.cfg.Service, Address: fmt.Sprintf("127.0.0.1:%d", i%ports+1), Zone: camphorhinge.Zone(f.cfg.Zones[i%len(f.cfg.Zones)]),
		Incarnation: f.incarnation, Seq: seq, Kind: camphorhinge.KindEngine, Role: camphorhinge.RoleMixed,
		Models: []camphorhinge.ModelName{f.cfg.Model}, Fencing: camphorhinge.FencingIgnored, Orders: camphorhinge.OrdersPlain,
		Load: camphorhinge.Load{
			Running: running, Waiting: running / 2, Tokens: camphorhinge.Tokens(1000 * running), Blocks: blocks,
			FreeBlocks: camphorhinge.Blocks(blocks - 4*running), Age: 100,
		},
	}
}
