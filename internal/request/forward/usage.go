package forward

import "example.org/camphorhinge"

// recordRun counts the request, once over all its attempts, as begun at the given time: a stream at its first event, any other request
// when the attempt that was answered was sent, since a target begins with it at about that time. A request whose connection the target
// resets before that counts as begun when the attempt was sent: most targets that reset a connection have run the request. A stream that
// the caller continues was counted when it began.
func (j *job) recordRun(at camphorhinge.Instant) {
	if j.f.cfg.Usage == nil || j.workspace() == "" || j.counted || j.continues() {
		return
	}
	j.counted = true
	j.f.cfg.Usage.RecordRun(j.workspace(), at)
}
