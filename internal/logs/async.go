package logs

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/group"
)

const (
	// maxQueuedLines limits the number of lines that wait to be written.
	maxQueuedLines = 4096
	// flushInterval batches lines, so that a busy process writes about 20 times a second.
	flushInterval = 50 * time.Millisecond
	// maxLinesPerSecond limits the volume; it is about ten times a VM's usual request rate.
	maxLinesPerSecond = 2000
)

// Async is a writer that queues lines and never blocks on the underlying writer. Lines
// above the limits are dropped and counted.
type Async struct {
	w       io.Writer
	g       *group.Group
	lines   chan []byte
	dropped atomic.Int64
	// count is the number of lines in the current second, which second identifies.
	second atomic.Int64
	count  atomic.Int64
	start  time.Time
}

// NewAsync returns an asynchronous writer to w.
func NewAsync(w io.Writer) *Async {
	a := &Async{w: w, lines: make(chan []byte, maxQueuedLines), start: time.Now()}
	a.g = group.New(context.Background())
	a.g.Go(a.run)
	return a
}

// Write queues one line; it never returns an error.
func (a *Async) Write(b []byte) (int, error) {
	if s := int64(time.Since(a.start) / time.Second); a.second.Swap(s) != s {
		a.count.Store(0)
	}
	if a.count.Add(1) > maxLinesPerSecond {
		a.dropped.Add(1)
		return len(b), nil
	}
	line := append([]byte(nil), b...)
	select {
	case a.lines <- line:
	default:
		a.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns how many lines were dropped.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Close writes the queued lines and stops the writer.
func (a *Async) Close() error { return a.g.Close() }

func (a *Async) run(ctx context.Context) error {
	var reported int64
	for {
		select {
		case <-ctx.Done():
			return a.flush(nil)
		case l := <-a.lines:
			select {
			case <-ctx.Done():
			case <-time.After(flushInterval):
			}
			if n := a.dropped.Load(); n > reported {
				l = fmt.Appendf(l, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n-reported)
				reported = n
			}
			if err := a.flush(l); err != nil {
				return err
			}
		}
	}
}

// flush writes the buffer and all queued lines.
func (a *Async) flush(b []byte) error {
	for len(a.lines) > 0 {
		b = append(b, <-a.lines...)
	}
	if len(b) == 0 {
		return nil
	}
	// A failure to write the log cannot be logged.
	_, _ = a.w.Write(b)
	return nil
}
