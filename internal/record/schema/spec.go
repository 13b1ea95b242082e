package schema

import (
	"encoding/hex"
	"maps"
	"math"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
	_ "time/tzdata" // VMs may lack time zone files, and all nodes must evaluate quiet windows alike

	"example.org/camphorhinge"
)

const (
	wantDigest = "a SHA-256 of 64 lower-case hexadecimal digits"
	wantClock  = "a time of day as HH:MM"
)

func decodeModel(s *fields, schema int, name string) *Model {
	m := &Model{
		Name:     camphorhinge.ModelName(name),
		Weights:  decodeWeights(s, schema),
		Context:  camphorhinge.Tokens(s.integer("context", 1, 1<<30, 0)),
		Adapters: toNames[camphorhinge.AdapterName](s.textList("adapters", "a list of adapter names", wantName, false, validName)),
	}
	if _, ok := s.get("context"); !ok {
		s.addFault("context", "the context length in tokens")
	}
	s.recordUnknown()
	return m
}

func decodeAdapter(s *fields, schema int, name string) *Adapter {
	a := &Adapter{
		Name:    camphorhinge.AdapterName(name),
		Model:   camphorhinge.ModelName(s.text("model", wantName, true, validName)),
		Weights: decodeWeights(s, schema),
	}
	s.recordUnknown()
	return a
}

func decodeWeights(s *fields, schema int) Weights {
	const wantID = "an id of at most 256 bytes"
	validID := func(text string) bool { return text != "" && len(text) <= 256 }
	if schema == 1 {
		return Weights{ID: s.text("weights", wantID, true, validID)}
	}
	w := s.object("weights", "a mapping with id, digest, bytes", true)
	if w.values == nil {
		return Weights{}
	}
	out := Weights{
		ID:     w.text("id", wantID, true, validID),
		Digest: w.text("digest", wantDigest, true, validDigest),
		Bytes:  w.integer("bytes", 1, math.MaxInt64, 0),
	}
	if _, ok := w.get("bytes"); !ok {
		w.addFault("bytes", "the size in bytes")
	}
	w.recordUnknown()
	return out
}

func validDigest(text string) bool {
	sum, err := hex.DecodeString(text)
	return err == nil && len(sum) == 32 && strings.ToLower(text) == text
}

func toNames[N ~string](list []string) []N {
	var out []N
	for _, text := range list {
		out = append(out, N(text))
	}
	return out
}

func decodeService(s *fields, schema int, name string) *Service {
	svc := &Service{
		Name:     camphorhinge.ServiceName(name),
		Priority: camphorhinge.Priority(s.integer("priority", 0, int64(camphorhinge.MaxPriority), int64(DefaultPriority))),
		Deadline: time.Duration(s.integer("deadline", 1, MaxDeadline.Milliseconds(), DefaultDeadline.Milliseconds())) * time.Millisecond,
	}
	svc.Type = ServiceType(s.text("type", "model or plain", true, func(t string) bool {
		return ServiceType(t) == TypeModel || ServiceType(t) == TypePlain
	}))
	switch svc.Type {
	case TypeModel:
		decodeModelService(s, schema, svc)
	case TypePlain:
		decodePlainService(s, schema, svc)
	default:
		// The type is invalid, so it is not known which fields are valid.
		return svc
	}
	s.recordUnknown()
	return svc
}

func decodeModelService(s *fields, schema int, svc *Service) {
	svc.Models = toNames[camphorhinge.ModelName](s.textList("models", "a list of model names", wantName, true, validName))
	floor := func(f *fields, field string) int { return int(f.integer(field, 0, 10_000, 0)) }
	if schema == 1 {
		svc.Floors = Floors{Prefill: floor(s, "prefill"), Decode: floor(s, "decode"), Mixed: floor(s, "mixed")}
	} else {
		roles := s.object("roles", "a mapping with prefill, decode, mixed", false)
		roleFloor := func(role string) int {
			r := roles.object(role, "a mapping with floor", false)
			defer r.recordUnknown()
			return floor(r, "floor")
		}
		svc.Floors = Floors{Prefill: roleFloor("prefill"), Decode: roleFloor("decode"), Mixed: roleFloor("mixed")}
		roles.recordUnknown()
	}
	weigh := s.object("weigh", "a mapping with goodput, changes", false)
	svc.Objective = ObjectiveWeights{Goodput: weigh.float("goodput", 1), Changes: weigh.float("changes", 1)}
	if svc.Objective == (ObjectiveWeights{}) {
		s.addFault("weigh", "goodput or changes above 0")
	}
	weigh.recordUnknown()
	svc.Unfenced = s.boolean("unfenced")
	for i, v := range s.list("quiet", "a list of time windows", false) {
		path := s.fieldPath("quiet") + "[" + strconv.Itoa(i) + "]"
		if w, ok := decodeWindow(s.result, path, v, schema); ok {
			svc.Quiet = append(svc.Quiet, w)
		}
	}
}

func decodeWindow(result *validation, path string, v any, schema int) (Window, bool) {
	w := Window{Zone: time.UTC}
	if schema == 1 {
		text, _ := v.(string)
		from, to, _ := strings.Cut(text, "-")
		var okFrom, okTo bool
		w.From, okFrom = parseClockTime(from)
		w.To, okTo = parseClockTime(to)
		if !okFrom || !okTo || w.From == w.To {
			result.addFault(path, "a window as HH:MM-HH:MM, of two different times", v)
			return w, false
		}
		return w, true
	}
	m, ok := v.(map[string]any)
	if !ok {
		result.addFault(path, "a mapping with from, to, zone", v)
		return w, false
	}
	before := len(result.faults)
	s := newFields(path, m, result)
	valid := func(text string) bool { _, ok := parseClockTime(text); return ok }
	w.From, _ = parseClockTime(s.text("from", wantClock, true, valid))
	w.To, _ = parseClockTime(s.text("to", wantClock, true, valid))
	zone := s.text("zone", "a time zone such as America/Lima", false, func(text string) bool {
		_, err := time.LoadLocation(text)
		// Local may be a different zone on each node.
		return err == nil && text != "Local"
	})
	if loaded, err := time.LoadLocation(zone); err == nil {
		w.Zone = loaded
	}
	s.recordUnknown()
	if len(result.faults) == before && w.From == w.To {
		result.addFault(path, "two different times", v)
	}
	return w, len(result.faults) == before
}

// parseClockTime parses HH:MM as the time since midnight.
func parseClockTime(text string) (time.Duration, bool) {
	t, err := time.Parse("15:04", text)
	if err != nil || len(text) != len("15:04") {
		return 0, false
	}
	return time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute, true
}

func decodePlainService(s *fields, schema int, svc *Service) {
	const wantPath = "a path prefix that starts with / and has no .., empty part, query or fragment"
	var paths []string
	if schema == 1 {
		if path := s.text("path", wantPath, true, validPath); path != "" {
			paths = []string{path}
		}
	} else {
		paths = s.textList("paths", "a list of path prefixes", wantPath, true, validPath)
	}
	for _, path := range paths {
		if path != "/" {
			path = strings.TrimSuffix(path, "/")
		}
		if !slices.Contains(svc.Paths, path) {
			svc.Paths = append(svc.Paths, path)
		}
	}
	svc.Idempotent = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PUT"}
	if _, ok := s.get("idempotent"); ok {
		svc.Idempotent = s.textList("idempotent", "a list of HTTP methods", "an HTTP method in upper-case letters", false,
			matcher(`^[A-Z]{1,16}$`))
		slices.Sort(svc.Idempotent)
	}
}

// validPath reports whether the text is a path prefix in canonical form, so that no other spelling of it bypasses
// matching.
func validPath(text string) bool {
	if len(text) > 256 || !strings.HasPrefix(text, "/") || strings.ContainsAny(text, "?#\\%") {
		return false
	}
	u, err := url.ParseRequestURI(text)
	if err != nil || u.Path != text || u.EscapedPath() != text {
		return false
	}
	if text == "/" {
		return true
	}
	for part := range strings.SplitSeq(strings.TrimSuffix(text[1:], "/"), "/") {
		if part == "" || part == "." || part == ".." {
			return false
		}
	}
	return true
}

func decodeWorkspace(s *fields, schema int, name string) *Workspace {
	w := &Workspace{
		Name:    camphorhinge.WorkspaceName(name),
		Ceiling: camphorhinge.Priority(s.integer("priority", 0, int64(camphorhinge.MaxPriority), int64(DefaultPriority))),
	}
	if sum, err := hex.DecodeString(s.text("key", wantDigest, true, validDigest)); err == nil {
		copy(w.Key[:], sum)
	}
	limits := s.object("limits", "a mapping", false)
	limit := func(f *fields) Limit {
		defer f.recordUnknown()
		return Limit{Requests: f.float("requests", 0), Tokens: f.float("tokens", 0)}
	}
	if limits.values != nil {
		w.Limits = map[camphorhinge.Priority]Limit{}
	}
	if schema == 1 {
		if limits.values != nil {
			w.Limits[0] = limit(limits)
		}
	} else {
		for _, key := range slices.Sorted(maps.Keys(limits.values)) {
			p, err := strconv.ParseUint(key, 10, 8)
			if err != nil || p > uint64(camphorhinge.MaxPriority) || key != strconv.FormatUint(p, 10) {
				limits.known[key] = true
				s.result.addFault(limits.fieldPath(key), "a priority from 0 to 9 as the field's name", key)
				continue
			}
			w.Limits[camphorhinge.Priority(p)] = limit(limits.object(key, "a mapping with requests, tokens", true))
		}
	}
	s.recordUnknown()
	return w
}
