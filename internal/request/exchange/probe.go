package exchange

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"

	"example.org/camphorhinge"
)

// probeAfterSilence retires the connections to an address when one of them failed with KindSilent and a probe on a new
// connection succeeds. Without a probe path it retires them at once. Further calls do nothing while a probe is in flight.
func (c *Client) probeAfterSilence(err error, address string) {
	var e *Error
	if !errors.As(err, &e) || e.Kind != KindSilent {
		return
	}
	if c.probePath() == "" {
		c.Retire(address)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, running := c.probing[address]; running || c.probeCtx.Err() != nil {
		return
	}
	c.probing[address] = struct{}{}
	c.probes.Go(func() error {
		defer func() {
			c.mu.Lock()
			delete(c.probing, address)
			c.mu.Unlock()
		}()
		if c.Probe(c.probeCtx, address) == nil {
			c.Retire(address)
		}
		return nil
	})
}

func (c *Client) probePath() string { return c.cfg.Dialect.ProbePath() }

// probeFunc returns a function that probes an address; concurrent calls share one probe.
func (c *Client) probeFunc(address string) func() error {
	return func() error {
		_, err, _ := c.sharedProbes.Do(address, func() (any, error) { return nil, c.Probe(c.probeCtx, address) })
		return err
	}
}

// Probe requests a target's state on a new connection. Any HTTP answer counts as success, since it shows that new
// connections work.
func (c *Client) Probe(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.ProbeTimeout)
	defer cancel()
	a, err := c.Open(ctx, Call{
		Target: &camphorhinge.Target{Announcement: camphorhinge.Announcement{Address: address}},
		Method: http.MethodGet, Path: c.probePath(), NewConn: true,
	})
	var e *Error
	if errors.As(err, &e) && e.Kind == KindRefused {
		return nil
	}
	if err != nil {
		return err
	}
	a.Close()
	return nil
}

// Handle identifies an exported KV cache on the engine that exported it.
type Handle struct {
	Handle string              `json:"handle"`
	Blocks camphorhinge.Blocks `json:"blocks"`
}

// Cancel requests that a target end an attempt and free its resources.
func (c *Client) Cancel(ctx context.Context, target *camphorhinge.Target, attempt camphorhinge.AttemptID) error {
	return c.control(ctx, target, http.MethodDelete, "/v1/attempts/"+url.PathEscape(string(attempt)), nil, nil)
}

// Export requests that an engine export the KV cache of an attempt.
func (c *Client) Export(
	ctx context.Context, target *camphorhinge.Target, attempt camphorhinge.AttemptID,
) (Handle, error) {
	var h Handle
	err := c.control(ctx, target, http.MethodPost, "/v1/kv/export", map[string]any{"attempt": attempt}, &h)
	return h, err
}

// Import requests that target fetch an exported KV cache from another engine; the attempt can then be resumed on target.
func (c *Client) Import(
	ctx context.Context, target, from *camphorhinge.Target, h Handle, attempt camphorhinge.AttemptID,
) error {
	return c.control(ctx, target, http.MethodPost, "/v1/kv/import",
		map[string]any{"from": from.Address, "handle": h.Handle, "attempt": attempt}, nil)
}

// control runs a JSON call whose answer is at most 64 KiB, within Config.ProbeTimeout. An error status is returned as an
// Error of KindStatus. The body is empty if in is nil, and the answer is ignored if out is nil.
func (c *Client) control(
	ctx context.Context, target *camphorhinge.Target, method, path string, in, out any,
) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.ProbeTimeout)
	defer cancel()
	call := Call{Target: target, Method: method, Path: path, Header: http.Header{}}
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return &Error{Op: path, Kind: KindProtocol, Run: camphorhinge.NotRun, Err: err}
		}
		call.Body, call.Length = bytes.NewReader(body), int64(len(body))
		call.Header.Set("Content-Type", "application/json")
	}
	a, err := c.Open(ctx, call)
	if err != nil {
		return err
	}
	defer a.Close()
	body, err := io.ReadAll(io.LimitReader(a, 64<<10))
	if err != nil {
		return err
	}
	if a.Status >= http.StatusBadRequest {
		return &Error{
			Op: path, Kind: KindStatus, Run: a.Class(), Status: a.Status,
			Err: statusError(a.Status),
		}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return &Error{Op: path, Kind: KindProtocol, Run: camphorhinge.Run, Status: a.Status, Err: err}
	}
	return nil
}
