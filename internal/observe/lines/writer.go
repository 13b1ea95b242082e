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
	// queueLength is the number of lines that wait for the output.
	queueLength = 1024
	// DefaultRate is the number of lines per second of one process, about one for each request of a small VM.
	DefaultRate = 150
	// DefaultBurst is the number of lines that may come at once.
	DefaultBurst = 600
	// reportInterval is the time between two lines that tell how many were left out.
	reportInterval = time.Second
)

// Writer is an io.Writer for whole lines. A line that comes too soon after others, or while the output is stuck, is left
// out and counted.
type Writer struct {
	out     io.Writer
	limiter *rate.Limiter
	queue   chan []byte
	dropped atomic.Int64
}

// New returns a Writer of at most perSecond lines per second on average; Run writes them.
func New(out io.Writer, perSecond float64, burst int) *Writer {
	return &Writer{out: out, limiter: rate.NewLimiter(rate.Limit(perSecond), burst), queue: make(chan []byte, queueLength)}
}

// Write takes one line. It never blocks and never fails.
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

// Dropped returns the number of lines left out since the last report.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes until ctx ends, and then what still waits.
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

// report writes how many lines were left out.
func (w *Writer) report() {
	if n := w.dropped.Swap(0); n > 0 {
		w.writeOut(fmt.Appendf(nil, `{"time":%q,"level":"WARN","msg":"log lines left out","lines":%d}`+"\n",
			time.Now().Format(time.RFC3339Nano), n))
	}
}

func (w *Writer) writeOut(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1) // The output is gone; the next report tells of it if it comes back.
	}
}
