package wire

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
)

// postTimeout bounds one announcement. It is below AnnounceInterval, so that an unresponsive node delays the next
// announcements by less than that.
const postTimeout = 400 * time.Millisecond

const announcePath = "/v1/announce"

// Announcer posts announcements to the target ports of nodes.
type Announcer struct {
	urls   []string
	client *http.Client
}

// NewAnnouncer returns an Announcer for base URLs such as http://127.0.0.1:8081; it appends the path of announcements
// where it is missing.
func NewAnnouncer(urls []string) *Announcer {
	a := &Announcer{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: postTimeout}}
	for _, u := range urls {
		u = strings.TrimSuffix(u, "/")
		if !strings.HasSuffix(u, announcePath) {
			u += announcePath
		}
		a.urls = append(a.urls, u)
	}
	return a
}

// Run announces every AnnounceInterval and whenever wake is ready, until ctx ends. next returns the announcement, or
// false to skip this one.
func (a *Announcer) Run(ctx context.Context, wake <-chan struct{}, next func() (camphorhinge.Announcement, bool)) error {
	defer a.client.CloseIdleConnections()
	tick := time.NewTicker(camphorhinge.AnnounceInterval)
	defer tick.Stop()
	for {
		if ann, ok := next(); ok {
			if err := a.post(ctx, ann); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-wake:
		}
	}
}

// post sends one announcement to all nodes concurrently. An unreachable node misses it, as with a real target.
func (a *Announcer) post(ctx context.Context, ann camphorhinge.Announcement) error {
	body, err := json.Marshal(ann)
	if err != nil {
		return err
	}
	var g errgroup.Group
	for _, u := range a.urls {
		g.Go(func() error {
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, u, bytes.NewReader(body))
			if err != nil {
				return err
			}
			req.Header.Set("Content-Type", "application/json")
			resp, err := a.client.Do(req)
			if err != nil {
				return nil
			}
			defer resp.Body.Close()
			_, _ = io.Copy(io.Discard, resp.Body)
			return nil
		})
	}
	return g.Wait()
}
