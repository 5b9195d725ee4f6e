package logs

import (
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct {
	mu      sync.Mutex
	release chan struct{}
	b       strings.Builder
}

func (p *blockedWriter) Write(b []byte) (int, error) {
	<-p.release
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.b.Write(b)
}

func (p *blockedWriter) String() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.b.String()
}

// Load pattern: the reader of the log stops while lines are written. No writer may block
// on it, and every line is either written later or counted as dropped.
func TestWriteDoesNotBlock(t *testing.T) {
	p := &blockedWriter{release: make(chan struct{})}
	a := NewAsync(p)
	const lines = 3 * maxQueuedLines
	start := time.Now()
	for range lines {
		_, err := a.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(start) < time.Second, "writing took %s", time.Since(start))
	assert.Assert(t, a.Dropped() >= lines-maxLinesPerSecond*2)
	close(p.release)
	assert.NilError(t, a.Close())
	n := strings.Count(p.String(), "line\n")
	assert.Assert(t, n > 0 && n <= 2*maxLinesPerSecond, "%d lines were written", n)
	assert.Equal(t, int64(n)+a.Dropped(), int64(lines))
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	p := &blockedWriter{release: make(chan struct{})}
	close(p.release)
	a := NewAsync(p)
	for _, l := range []string{"a\n", "b\n", "c\n"} {
		_, err := a.Write([]byte(l))
		assert.NilError(t, err)
	}
	assert.NilError(t, a.Close())
	assert.Equal(t, p.String(), "a\nb\nc\n")
}
