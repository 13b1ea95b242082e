package lines

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queueLength is the maximum number of lines that are queued for the output.
	queueLength = 1024
	// DefaultRate is the rate limit of one process in lines per second; it allows about one line for each request of a
	// small VM.
	DefaultRate = 150
	// DefaultBurst is the number of lines that may be written at once.
	DefaultBurst = 600
	// reportInterval is the interval at which the number of dropped lines is logged.
	reportInterval = time.Second
)

// Writer is an io.Writer for complete log lines, and safe for concurrent use. Lines that exceed the rate limit, or do
// not fit in the queue because the output is slow or blocked, are dropped and counted.
type Writer struct {
	out     io.Writer
	limiter *rate.Limiter
	queue   chan []byte
	dropped atomic.Int64
}

// New returns a Writer that accepts perSecond lines per second on average, with bursts of up to burst lines. Run must
// be running for them to reach out.
func New(out io.Writer, perSecond float64, burst int) *Writer {
	return &Writer{out: out, limiter: rate.NewLimiter(rate.Limit(perSecond), burst), queue: make(chan []byte, queueLength)}
}

// Write queues or drops one line. It never blocks and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the last report.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes queued lines to the output until ctx is done, then flushes the queue and returns nil.
func (w *Writer) Run(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.queue:
			w.writeOut(line)
		case <-ticker.C:
			w.report()
		case <-ctx.Done():
			for {
				select {
				case line := <-w.queue:
					w.writeOut(line)
				default:
					w.report()
					return nil
				}
			}
		}
	}
}

// report writes the number of dropped lines to the output, if there are any, and resets it.
func (w *Writer) report() {
	if n := w.dropped.Swap(0); n > 0 {
		w.writeOut(fmt.Appendf(nil, `{"time":%q,"level":"WARN","msg":"log lines left out","lines":%d}`+"\n",
			time.Now().Format(time.RFC3339Nano), n))
	}
}

func (w *Writer) writeOut(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1) // If the output recovers, the next report includes the line.
	}
}
