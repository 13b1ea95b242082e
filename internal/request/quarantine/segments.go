package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/camphorhinge"
)

// All replicas must have the same values of these constants, which determine the replicated state.
const (
	// segmentThreshold is the number of crashes after which a segment is refused. The threshold is higher for one with
	// which requests succeeded within Window: it was probably only in flight.
	segmentThreshold, soundThreshold = 3, 5
	// minCrashes is the least number of crashes after which a segment can be refused: that of a request that was alone in
	// flight at both.
	minCrashes = 2
	// correlatedCrashes is the time within which crashes of several targets count once for a segment that was in flight at
	// all of them. They usually have another cause, such as a power failure.
	correlatedCrashes = 50 * time.Millisecond
	// maxSound bounds the stored successes; the oldest are dropped first.
	maxSound = 65_536
	// releasedRetention is how long a released segment is listed, so that all nodes learn of it.
	releasedRetention = time.Minute
)

// success states that a request with a segment succeeded Age milliseconds before the command was sent.
type success struct {
	Segment camphorhinge.Fingerprint `json:"f"`
	Age     int64                    `json:"a"`
}

// RequestFingerprint returns the hash by which crashes of a request are counted as those of a segment, whoever sends it.
func RequestFingerprint(service camphorhinge.ServiceName, method, target string, body []byte) camphorhinge.Fingerprint {
	d := xxhash.New()
	for _, part := range []string{string(service), method, target} {
		_, _ = d.WriteString(part) // Writes to a hash don't fail.
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return camphorhinge.Fingerprint(d.Sum64())
}

// refusal is the refusal of a segment until a stamp; one that has been released has Until 0.
type refusal struct {
	Until int64 `json:"u"`
	// Changed is the stamp, Index the log index of the last change.
	Changed int64              `json:"c"`
	Index   camphorhinge.Index `json:"i"`
}

// segmentScores decides which prompt segments are refused, from the crashes at which they were in flight. The segments of
// a crash are all suspect, whatever their number: unlike a whole request, a segment is in flight at many targets.
//
// A crash counts against a segment only if no request with the segment succeeded since, and if none of the other
// segments explains it. One explains it that is refused and was in more crashes, or that is refused without any recent
// success while the other had one.
type segmentScores struct {
	// crashes lists the stored crashes of each segment, ordered by application.
	crashes map[camphorhinge.Fingerprint][]*crash
	// soundAt is the stamp of the last known success with a segment.
	soundAt map[camphorhinge.Fingerprint]int64
	refused map[camphorhinge.Fingerprint]refusal
	// index is that of the last command that changed a segment's crashes or success.
	index map[camphorhinge.Fingerprint]camphorhinge.Index
}

func newSegmentScores() segmentScores {
	return segmentScores{
		crashes: map[camphorhinge.Fingerprint][]*crash{}, soundAt: map[camphorhinge.Fingerprint]int64{},
		refused: map[camphorhinge.Fingerprint]refusal{}, index: map[camphorhinge.Fingerprint]camphorhinge.Index{},
	}
}

// addCrash adds the segments of a report to a stored crash. A segment counts once for each incarnation of a target, however
// late the reports on it come.
func (s *segmentScores) addCrash(e camphorhinge.Entry, cr *crash, c command) {
	for _, seg := range c.Segments {
		i, found := slices.BinarySearch(cr.Segments, seg)
		if j, was := slices.BinarySearch(cr.Retried, seg); found && was && !slices.Contains(c.Retried, seg) {
			// Another node had it in flight there before.
			cr.Retried = slices.Delete(cr.Retried, j, j+1)
		}
		known := slices.ContainsFunc(s.crashes[seg], func(o *crash) bool {
			return o.Target == cr.Target && o.Incarnation == cr.Incarnation
		})
		if found || known || len(cr.Segments) >= maxFingerprints {
			continue
		}
		cr.Segments = slices.Insert(cr.Segments, i, seg)
		if slices.Contains(c.Retried, seg) {
			cr.Retried = append(cr.Retried, seg)
			slices.Sort(cr.Retried)
		}
		if slices.Contains(c.Requests, seg) {
			cr.Requests = append(cr.Requests, seg)
			slices.Sort(cr.Requests)
		}
		s.crashes[seg] = append(s.crashes[seg], cr)
		s.index[seg] = e.Index
	}
	s.decide(e, cr.Segments)
}

// addSuccesses records successes.
func (s *segmentScores) addSuccesses(e camphorhinge.Entry, list []success) {
	var changed []camphorhinge.Fingerprint
	for _, x := range list {
		at := e.Stamp - max(x.Age, 0)
		if at <= s.soundAt[x.Segment] {
			continue
		}
		crashes, sound := s.count(x.Segment, e.Stamp, nil), s.isSound(x.Segment, e.Stamp)
		s.soundAt[x.Segment] = at
		if crashes > 0 && (!sound || s.count(x.Segment, e.Stamp, nil) < crashes) {
			s.index[x.Segment] = e.Index
			changed = append(changed, x.Segment)
		}
	}
	if len(s.soundAt) > maxSound {
		s.dropOldestSuccesses()
	}
	if len(changed) > 0 {
		s.decide(e, changed)
	}
}

func (s *segmentScores) dropOldestSuccesses() {
	stamps := make([]int64, 0, len(s.soundAt))
	for _, at := range s.soundAt {
		stamps = append(stamps, at)
	}
	slices.Sort(stamps)
	median := stamps[len(stamps)/2]
	for seg, at := range s.soundAt {
		if at < median {
			delete(s.soundAt, seg)
		}
	}
}

// isSound reports whether a request with the segment is known to have succeeded within Window.
func (s *segmentScores) isSound(seg camphorhinge.Fingerprint, now int64) bool {
	at, ok := s.soundAt[seg]
	return ok && now-at < Window.Milliseconds()
}

// count returns the number of crashes within Window and after the last success that have the segment, without those for
// which skip returns true.
func (s *segmentScores) count(seg camphorhinge.Fingerprint, now int64, skip func(*crash) bool) int {
	list := slices.Clone(s.crashes[seg])
	slices.SortStableFunc(list, func(a, b *crash) int { return cmp.Compare(a.At, b.At) })
	n, last := 0, int64(0)
	for _, cr := range list {
		switch {
		case !s.counts(cr, seg, now) || skip != nil && skip(cr):
		case cr.isRetried(seg):
			n++
		case last > 0 && cr.At-last < correlatedCrashes.Milliseconds():
		default:
			n, last = n+1, cr.At
		}
	}
	return n
}

// counts reports whether a crash is within Window and after the last success with a segment.
func (s *segmentScores) counts(cr *crash, seg camphorhinge.Fingerprint, now int64) bool {
	return now-cr.At < Window.Milliseconds() && cr.At > s.soundAt[seg]
}

// requestScore returns the score of a segment that is a whole request, in scoreUnits: for each crash that counts and is not to
// be skipped, 1 divided by the number of requests in flight.
func (s *segmentScores) requestScore(seg camphorhinge.Fingerprint, now int64, skip func(*crash) bool) int {
	score := 0
	for _, cr := range s.crashes[seg] {
		if _, is := slices.BinarySearch(cr.Requests, seg); is && s.counts(cr, seg, now) && !skip(cr) {
			score += scoreUnit / len(cr.Requests)
		}
	}
	return score
}

// isRetried reports whether a segment came to the target only after another crash with it.
func (cr *crash) isRetried(seg camphorhinge.Fingerprint) bool {
	_, found := slices.BinarySearch(cr.Retried, seg)
	return found
}

// suspect is a segment with the number of its crashes.
type suspect struct {
	segment camphorhinge.Fingerprint
	crashes int
	sound   bool
}

// precedes reports whether the segment of a explains crashes that both were in.
func (a suspect) precedes(b suspect) bool {
	if a.sound != b.sound {
		return b.sound
	}
	return a.crashes > b.crashes
}

func (a suspect) threshold() int {
	if a.sound {
		return soundThreshold
	}
	return segmentThreshold
}

// decide refuses or releases the given segments and those that are refused now. Those that a released one explained are
// decided again.
func (s *segmentScores) decide(e camphorhinge.Entry, segments []camphorhinge.Fingerprint) {
	released := s.decideOnce(e, segments)
	seen := map[camphorhinge.Fingerprint]bool{}
	for len(released) > 0 {
		var again []camphorhinge.Fingerprint
		for _, seg := range released {
			for _, x := range s.besides(seg) {
				if !seen[x] {
					seen[x] = true
					again = append(again, x)
				}
			}
		}
		released = nil
		if len(again) > 0 {
			released = s.decideOnce(e, again)
		}
	}
}

// besides returns the segments that were in crashes with the given one, and in enough crashes to be refused.
func (s *segmentScores) besides(seg camphorhinge.Fingerprint) []camphorhinge.Fingerprint {
	var out []camphorhinge.Fingerprint
	for _, cr := range s.crashes[seg] {
		for _, x := range cr.Segments {
			if x != seg && len(s.crashes[x]) >= minCrashes {
				out = append(out, x)
			}
		}
	}
	return out
}

// decideOnce refuses or releases the given segments and those that are refused now, and returns the released ones.
func (s *segmentScores) decideOnce(e camphorhinge.Entry, segments []camphorhinge.Fingerprint) (released []camphorhinge.Fingerprint) {
	var suspects []suspect
	seen := map[camphorhinge.Fingerprint]bool{}
	add := func(seg camphorhinge.Fingerprint) {
		if !seen[seg] {
			seen[seg] = true
			suspects = append(suspects, suspect{seg, s.count(seg, e.Stamp, nil), s.isSound(seg, e.Stamp)})
		}
	}
	for _, seg := range segments {
		add(seg)
	}
	for seg, r := range s.refused {
		if r.Until > e.Stamp {
			add(seg)
		}
	}
	slices.SortFunc(suspects, func(a, b suspect) int {
		switch {
		case a.precedes(b):
			return -1
		case b.precedes(a):
			return 1
		}
		return cmp.Compare(a.segment, b.segment)
	})
	var blamed []suspect
	for _, x := range suspects {
		explained := func(cr *crash) bool {
			return slices.ContainsFunc(blamed, func(b suspect) bool {
				_, found := slices.BinarySearch(cr.Segments, b.segment)
				return found && b.precedes(x)
			})
		}
		was := s.refused[x.segment].Until > e.Stamp
		is := x.crashes >= x.threshold() && s.count(x.segment, e.Stamp, explained) >= x.threshold() ||
			!x.sound && s.requestScore(x.segment, e.Stamp, explained) >= refusalThreshold
		switch {
		case is:
			blamed = append(blamed, x)
			if !was || slices.Contains(segments, x.segment) {
				s.refused[x.segment] = refusal{Until: e.Stamp + Window.Milliseconds(), Changed: e.Stamp, Index: e.Index}
			}
		case was:
			s.refused[x.segment] = refusal{Changed: e.Stamp, Index: e.Index}
			released = append(released, x.segment)
		}
	}
	return released
}

// drop removes an expired crash.
func (s *segmentScores) drop(cr *crash) {
	for _, seg := range cr.Segments {
		list := slices.DeleteFunc(s.crashes[seg], func(o *crash) bool { return o == cr })
		if s.crashes[seg] = list; len(list) == 0 {
			delete(s.crashes, seg)
			delete(s.index, seg)
		}
	}
}

// dropExpired removes expired successes and refusals.
func (s *segmentScores) dropExpired(now int64) {
	for seg, at := range s.soundAt {
		if now-at >= Window.Milliseconds() {
			delete(s.soundAt, seg)
		}
	}
	for seg, r := range s.refused {
		if r.Until <= now && now-r.Changed >= releasedRetention.Milliseconds() {
			delete(s.refused, seg)
		}
	}
}

// score returns the Score of a segment, whose Value is the number of its crashes since the last success.
func (s *segmentScores) score(seg camphorhinge.Fingerprint, now int64) Score {
	r := s.refused[seg]
	return Score{
		Fingerprint: seg, Value: float64(s.count(seg, now, nil)), RemainingMillis: max(r.Until-now, 0),
		Index: max(s.index[seg], r.Index), Segment: true,
	}
}

// scores returns the scores of all segments with a crash, a refusal, or a recent release.
func (s *segmentScores) scores(now int64) []Score {
	out := make([]Score, 0, len(s.crashes))
	for seg := range s.crashes {
		if x := s.score(seg, now); x.Value > 0 || x.RemainingMillis > 0 || s.refused[seg].Changed > 0 {
			out = append(out, x)
		}
	}
	for seg := range s.refused {
		if len(s.crashes[seg]) == 0 {
			out = append(out, s.score(seg, now))
		}
	}
	return out
}
