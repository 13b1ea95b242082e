package frontend

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"example.org/camphorhinge"
)

// meters holds the metrics of a Frontend.
type meters struct {
	set             *metrics.Set
	retries         *metrics.Counter
	resumed         *metrics.Counter
	moved           *metrics.Counter
	replayed        *metrics.Counter
	diverged        *metrics.Counter
	good            *metrics.Counter
	events          *metrics.Counter
	controlFailures *metrics.Counter
	firstEvent      *metrics.Histogram
	eventInterval   *metrics.Histogram
}

func newMeters(set *metrics.Set) *meters {
	return &meters{
		set:             set,
		retries:         set.GetOrCreateCounter("camphorhinge_request_retries_total"),
		resumed:         set.GetOrCreateCounter("camphorhinge_streams_resumed_total"),
		moved:           set.GetOrCreateCounter("camphorhinge_streams_moved_total"),
		replayed:        set.GetOrCreateCounter("camphorhinge_streams_replayed_total"),
		diverged:        set.GetOrCreateCounter("camphorhinge_streams_diverged_total"),
		good:            set.GetOrCreateCounter("camphorhinge_requests_good_total"),
		events:          set.GetOrCreateCounter("camphorhinge_pieces_total"),
		controlFailures: set.GetOrCreateCounter("camphorhinge_control_failures_total"),
		firstEvent:      set.GetOrCreateHistogram("camphorhinge_first_piece_seconds"),
		eventInterval:   set.GetOrCreateHistogram("camphorhinge_piece_seconds"),
	}
}

// record counts a finished request. kind is empty for one that was answered; good is true for a complete answer in
// time that is not a server error.
func (m *meters) record(
	service camphorhinge.ServiceName, class camphorhinge.RunClass, kind Kind, good bool, took time.Duration,
) {
	m.set.GetOrCreateCounter(
		fmt.Sprintf("camphorhinge_requests_total{service=%q,run=%q,error=%q}", service, class, kind)).Inc()
	m.set.GetOrCreateHistogram(
		fmt.Sprintf("camphorhinge_request_seconds{service=%q}", service)).Update(took.Seconds())
	if good {
		m.good.Inc()
	}
}
