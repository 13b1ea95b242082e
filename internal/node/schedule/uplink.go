package schedule

import (
	"math"
	"time"

	"example.org/camphorhinge"
)

const (
	// uplinkTime is the time constant over which the use of the link is averaged.
	uplinkTime = time.Second
	// maxUplinkUse bounds the share of the link that counts as used, so that an estimate remains finite.
	maxUplinkUse = 0.9
)

// uplink estimates how long a node's link takes to send a request, from the requests that it sent recently.
type uplink struct {
	// rate is the speed of the link in bytes per second; 0 means unknown.
	rate float64
	// sent is the sum of the bytes sent, decayed by their age as of at.
	sent float64
	at   camphorhinge.Instant
}

func newUplink(mbps float64) *uplink { return &uplink{rate: mbps * 1e6 / 8} }

func (u *uplink) decay(now camphorhinge.Instant) {
	u.sent *= math.Exp(-now.Sub(u.at).Seconds() / uplinkTime.Seconds())
	u.at = now
}

// record records a request that is sent.
func (u *uplink) record(now camphorhinge.Instant, bytes int) {
	u.decay(now)
	u.sent += float64(bytes)
}

// timeFor returns the expected time to send a request, which grows with the use of the link.
func (u *uplink) timeFor(now camphorhinge.Instant, bytes int) time.Duration {
	if u.rate <= 0 {
		return 0
	}
	u.decay(now)
	use := min(u.sent/uplinkTime.Seconds()/u.rate, maxUplinkUse)
	return time.Duration(float64(bytes) / u.rate / (1 - use) * float64(time.Second))
}
