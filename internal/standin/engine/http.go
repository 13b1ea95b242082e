package engine

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/request/prefix"
)

// maxPrefixHashes bounds the prefix hashes of one prompt.
const maxPrefixHashes = 256

func (e *Engine) routes() {
	e.server.POST("/v1/completions", e.handleCompletion)
	e.server.POST("/v1/chat/completions", e.handleCompletion)
	e.server.DELETE("/v1/attempts/:id", e.handleCancel)
	e.server.GET("/v1/target", e.handleTarget)
	e.server.GET("/v1/counters", func(_ context.Context, c *app.RequestContext) { c.JSON(http.StatusOK, e.Counters()) })
	e.server.POST("/v1/orders", func(_ context.Context, c *app.RequestContext) { handleOrder(c, e.order) })
	e.server.POST("/v1/orders/prepare", func(_ context.Context, c *app.RequestContext) { handleOrder(c, e.prepare) })
	e.server.POST("/v1/kv/export", e.handleExport)
	e.server.POST("/v1/kv/import", e.handleImport)
	e.server.POST("/v1/kv/fetch", e.handleFetch)
}

// failure is an error answer with its run class.
type failure struct {
	status int
	run    camphorhinge.RunClass
	reason string
}

func (f failure) write(c *app.RequestContext) {
	c.Response.Header.Set(camphorhinge.HeaderRun, string(f.run))
	c.JSON(f.status, map[string]any{"error": map[string]any{"message": f.reason, "run": f.run}})
}

// refusal returns a failure of the class not-run.
func refusal(status int, reason string) *failure {
	return &failure{status: status, run: camphorhinge.NotRun, reason: reason}
}

func (e *Engine) handleCompletion(_ context.Context, c *app.RequestContext) {
	body := c.Request.Body()
	req, err := ParseRequest(body)
	if err != nil {
		refusal(http.StatusBadRequest, err.Error()).write(c)
		return
	}
	id := camphorhinge.AttemptID(c.Request.Header.Get(camphorhinge.HeaderAttempt))
	if id == "" {
		refusal(http.StatusBadRequest, camphorhinge.HeaderAttempt+" is missing").write(c)
		return
	}
	s, offset, ended, fail := e.attach(id, req, body, c)
	if fail != nil {
		fail.write(c)
		return
	}
	defer e.detach(s)
	chat := strings.Contains(string(c.Path()), "/chat/")
	if req.Stream {
		e.writeStream(c, s, offset, ended, chat)
	} else {
		e.writeBuffered(c, s, ended, chat)
	}
}

// attach queues a new attempt or finds the one to resume, and adds a reader to it. It returns the offset to send from
// and a channel that is closed when the incarnation ends.
func (e *Engine) attach(id camphorhinge.AttemptID, req Request, body []byte, c *app.RequestContext) (*sequence, int, <-chan struct{}, *failure) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fail := func(f *failure) (*sequence, int, <-chan struct{}, *failure) {
		e.counters.Refused++
		return nil, 0, nil, f
	}
	old := e.seqs[id]
	if resume := c.Request.Header.Get(camphorhinge.HeaderResume); resume != "" {
		offset, err := strconv.Atoi(resume)
		switch {
		case err != nil || offset < 0:
			return fail(refusal(http.StatusBadRequest, camphorhinge.HeaderResume+" is not an offset"))
		case old == nil || old.phase == aborted:
			return fail(refusal(http.StatusNotFound, "no such attempt to resume"))
		case old.key != BodyKey(body):
			return fail(refusal(http.StatusConflict, "attempt has another body"))
		case offset > req.MaxTokens:
			return fail(refusal(http.StatusBadRequest, "offset is past the end"))
		}
		if old.phase == exported {
			// The cache has not been fetched yet, so the attempt continues here and its handle becomes void.
			old.phase = decoding
			maps.DeleteFunc(e.handles, func(_ string, k kvExport) bool { return k.Attempt == id })
			notify(e.batchWake)
		}
		old.readers++
		return old, offset, e.incarnationEnd, nil
	}
	queued := len(e.inPhase(waiting))
	switch {
	case old != nil:
		return fail(&failure{status: http.StatusConflict, run: camphorhinge.Run, reason: "attempt exists"})
	case e.down || e.state.busy:
		return fail(refusal(http.StatusServiceUnavailable, "changing"))
	case e.state.leaving:
		return fail(refusal(http.StatusServiceUnavailable, "leaving"))
	case !e.serves(req):
		return fail(refusal(http.StatusNotFound, "model or adapter is not loaded"))
	case queued >= e.cfg.MaxWaiting:
		return fail(refusal(http.StatusServiceUnavailable, "queue is full"))
	}
	s := &sequence{
		attempt: id, req: req, key: BodyKey(body), arrival: e.arrivals, readers: 1, changed: make(chan struct{}),
		hashes: prefix.Hashes(req.Model, req.Adapter, req.Prompt, maxPrefixHashes), prompt: prefix.Tokens(req.Prompt),
	}
	e.arrivals++
	if p, err := strconv.ParseUint(c.Request.Header.Get(camphorhinge.HeaderPriority), 10, 8); err == nil {
		s.priority = min(camphorhinge.Priority(p), camphorhinge.MaxPriority)
	}
	if ms, err := strconv.ParseInt(c.Request.Header.Get(camphorhinge.HeaderDeadline), 10, 64); err == nil {
		s.deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	e.seqs[id] = s
	notify(e.batchWake)
	return s, 0, e.incarnationEnd, nil
}

// serves reports whether the model and the adapter of a request are loaded.
func (e *Engine) serves(r Request) bool {
	hasModel := r.Model == ""
	for _, m := range e.state.models {
		hasModel = hasModel || m == r.Model
	}
	hasAdapter := r.Adapter == ""
	for _, a := range e.state.adapters {
		// Clients of the common completion API name an adapter in place of the model.
		hasModel = hasModel || string(a) == string(r.Model)
		hasAdapter = hasAdapter || a == r.Adapter
	}
	return hasModel && hasAdapter
}

func (e *Engine) detach(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	s.idleSince = time.Now()
}

// awaitToken blocks until the sequence has more than n tokens or has ended, and returns its number of tokens and its
// phase. ok is false when the incarnation ended first.
func (e *Engine) awaitToken(s *sequence, n int, ended <-chan struct{}) (produced int, p phase, ok bool) {
	for {
		e.mu.Lock()
		produced, p, change := s.produced, s.phase, s.changed
		e.mu.Unlock()
		if produced > n || p >= done {
			return produced, p, true
		}
		select {
		case <-ended:
			return produced, p, false
		case <-change:
		}
	}
}

// writeStream sends one event per token from offset on. The stream of a sequence that is aborted or exported ends
// without an end mark.
func (e *Engine) writeStream(c *app.RequestContext, s *sequence, offset int, ended <-chan struct{}, chat bool) {
	produced, p, ok := e.awaitToken(s, offset, ended)
	if !ok || p == aborted && produced == 0 {
		e.writeAborted(c, s, ok)
		return
	}
	c.Response.Header.Set(camphorhinge.HeaderRun, string(camphorhinge.Run))
	w := sse.NewWriter(c)
	send := func(i int, data []byte) bool {
		return w.WriteEvent(string(s.attempt)+"/"+strconv.Itoa(i), "", data) == nil
	}
	for i := offset; ; {
		for ; i < produced; i++ {
			if !send(i, encodeChunk(s, Token(s.req.Prompt, i), "", chat)) {
				return
			}
		}
		switch {
		case p == done:
			if send(i, encodeChunk(s, "", "length", chat)) {
				send(i+1, []byte("[DONE]"))
			}
			return
		case p > done:
			return
		}
		if produced, p, ok = e.awaitToken(s, i, ended); !ok {
			return
		}
	}
}

// writeBuffered sends the answer in one body once it is complete.
func (e *Engine) writeBuffered(c *app.RequestContext, s *sequence, ended <-chan struct{}, chat bool) {
	produced, p, ok := 0, waiting, true
	for ok && p < done {
		produced, p, ok = e.awaitToken(s, produced, ended)
	}
	if !ok || p != done {
		e.writeAborted(c, s, ok)
		return
	}
	text := Answer(s.req.Prompt, produced)
	choice := map[string]any{"index": 0, "finish_reason": "length"}
	if chat {
		choice["message"] = Message{Role: "assistant", Content: text}
	} else {
		choice["text"] = text
	}
	c.Response.Header.Set(camphorhinge.HeaderRun, string(camphorhinge.Run))
	c.JSON(http.StatusOK, map[string]any{
		"id": s.attempt, "model": s.req.Model, "choices": []any{choice},
		"usage": map[string]any{"prompt_tokens": s.prompt, "completion_tokens": produced},
	})
}

// writeAborted answers for a sequence that ended before anything was sent; alive is false when the incarnation ended.
func (e *Engine) writeAborted(c *app.RequestContext, s *sequence, alive bool) {
	e.mu.Lock()
	mayHaveRun := !alive || s.started
	e.mu.Unlock()
	f := failure{status: http.StatusServiceUnavailable, run: camphorhinge.NotRun, reason: "attempt was aborted before its start"}
	if mayHaveRun {
		f.run = camphorhinge.Unknown
		f.reason = "attempt was aborted before its completion"
	}
	f.write(c)
}

// encodeChunk encodes one stream event in the format of the common completion API.
func encodeChunk(s *sequence, text, finish string, chat bool) []byte {
	choice := map[string]any{"index": 0, "finish_reason": nil}
	if finish != "" {
		choice["finish_reason"] = finish
	}
	object := "text_completion"
	if chat {
		object = "chat.completion.chunk"
		choice["delta"] = map[string]any{"content": text}
	} else {
		choice["text"] = text
	}
	// A map of strings and numbers can always be encoded.
	b, _ := json.Marshal(map[string]any{"id": s.attempt, "object": object, "model": s.req.Model, "choices": []any{choice}})
	return b
}

func (e *Engine) handleCancel(_ context.Context, c *app.RequestContext) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.seqs[camphorhinge.AttemptID(c.Param("id"))]
	if s == nil {
		c.Status(http.StatusNotFound)
		return
	}
	if s.phase <= decoding {
		s.end(aborted, time.Now())
		e.counters.Cancelled++
	}
	c.Status(http.StatusNoContent)
}

// handleTarget returns the announcement; with cache=full it includes all cached prefixes.
func (e *Engine) handleTarget(_ context.Context, c *app.RequestContext) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.describe()
	if c.Query("cache") == "full" {
		a.Cache = e.cache.fullReport()
	}
	c.JSON(http.StatusOK, a)
}

func handleOrder(c *app.RequestContext, execute func(Order) OrderAnswer) {
	var o Order
	if err := json.Unmarshal(c.Request.Body(), &o); err != nil {
		refusal(http.StatusBadRequest, err.Error()).write(c)
		return
	}
	a := execute(o)
	status := http.StatusOK
	if a.State == StateRefused {
		status = http.StatusConflict
	}
	c.JSON(status, a)
}

func (e *Engine) handleExport(_ context.Context, c *app.RequestContext) {
	var r ImportRequest
	if err := json.Unmarshal(c.Request.Body(), &r); err != nil {
		refusal(http.StatusBadRequest, err.Error()).write(c)
		return
	}
	a, err := e.export(r.Attempt)
	if err != nil {
		refusal(http.StatusNotFound, err.Error()).write(c)
		return
	}
	c.JSON(http.StatusOK, a)
}

func (e *Engine) handleImport(ctx context.Context, c *app.RequestContext) {
	var r ImportRequest
	if err := json.Unmarshal(c.Request.Body(), &r); err != nil {
		refusal(http.StatusBadRequest, err.Error()).write(c)
		return
	}
	k, err := e.importKV(ctx, r)
	if err != nil {
		refusal(http.StatusConflict, err.Error()).write(c)
		return
	}
	c.JSON(http.StatusOK, map[string]any{"attempt": k.Attempt, "produced": k.Produced, "blocks": k.Blocks})
}

// handleFetch returns an export to the importing engine; a handle can be fetched once.
func (e *Engine) handleFetch(_ context.Context, c *app.RequestContext) {
	var r ImportRequest
	if err := json.Unmarshal(c.Request.Body(), &r); err != nil {
		refusal(http.StatusBadRequest, err.Error()).write(c)
		return
	}
	e.mu.Lock()
	k, ok := e.handles[r.Handle]
	delete(e.handles, r.Handle)
	if s := e.seqs[k.Attempt]; ok && s != nil && s.phase == exported {
		s.phase = aborted
	}
	e.mu.Unlock()
	if !ok {
		refusal(http.StatusNotFound, "no such handle").write(c)
		return
	}
	c.JSON(http.StatusOK, k)
}
