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
	// maxQueuedLines bounds the lines that wait to be written.
	maxQueuedLines = 4096
	// flushInterval gathers lines so that a busy process writes some times a second.
	flushInterval = 50 * time.Millisecond
	// maxLinesPerSecond bounds the volume: some ten times a VM's usual share of requests.
	maxLinesPerSecond = 2000
)

// Async is a writer that never waits for the one behind it. Lines that do not
// fit are dropped and counted.
type Async struct {
	w       io.Writer
	g       *group.Group
	lines   chan []byte
	dropped atomic.Int64
	// second and count bound the lines of the present second.
	second atomic.Int64
	count  atomic.Int64
	start  time.Time
}

// NewAsync returns a writer in front of w.
func NewAsync(w io.Writer) *Async {
	a := &Async{w: w, lines: make(chan []byte, maxQueuedLines), start: time.Now()}
	a.g = group.New(context.Background())
	a.g.Go(a.run)
	return a
}

// Write queues one line.
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

// Close writes what waits.
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

// flush writes the buffer and all lines that wait.
func (a *Async) flush(b []byte) error {
	for len(a.lines) > 0 {
		b = append(b, <-a.lines...)
	}
	if len(b) == 0 {
		return nil
	}
	// Nothing can be logged about a log that cannot be written.
	_, _ = a.w.Write(b)
	return nil
}
