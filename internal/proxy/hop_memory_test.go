package proxy

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"golang.org/x/sync/semaphore"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

// replyOf returns a handler that answers relayed requests with a body of a size.
func replyOf(t *testing.T, size int) http.HandlerFunc {
	body := bytes.Repeat([]byte("x"), size)
	return func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		assert.Check(t, err == nil)
		q := &eelpb.RelayRequest{}
		assert.Check(t, proto.Unmarshal(b, q) == nil)
		a, err := proto.Marshal(&eelpb.RelayReply{Id: q.Id, Outcome: eelpb.RelayOutcome_RESPONDED, Status: http.StatusOK, Sent: 1})
		assert.Check(t, err == nil)
		// The body is the third field; it is written by itself, so that the VMs that relay take no memory here.
		w.Header().Set("Content-Type", "application/protobuf")
		_, _ = w.Write(append(a, protoLength(4, size)...))
		_, _ = w.Write(body)
	}
}

// protoLength returns the tag and the length of a field of bytes.
func protoLength(field, n int) []byte {
	out := []byte{byte(field<<3 | 2)}
	for ; n >= 1<<7; n >>= 7 {
		out = append(out, byte(n)|1<<7)
	}
	return append(out, byte(n))
}

// endlessReply answers relayed requests with bytes without end.
func endlessReply(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/protobuf")
	junk := bytes.Repeat([]byte("x"), 64<<10)
	for {
		if _, err := w.Write(junk); err != nil {
			return
		}
	}
}

// A VM that is cut off has its requests relayed, and targets answer with large bodies, or the VMs that relay with bytes
// without end. The memory of the VM that asked stays bounded, requests that it cannot take the response of fail
// truthfully, and a later one of the usual size is served.
func TestHopRepliesShareMemory(t *testing.T) {
	const (
		vmBytes     = 184 << 20
		answerBytes = vmBytes / 8
		calls       = 24
	)
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(vmBytes * 3 / 4))
	tests := []struct {
		name    string
		handler func(t *testing.T) http.HandlerFunc
	}{
		{"large bodies", func(t *testing.T) http.HandlerFunc { return replyOf(t, 12<<20) }},
		{"bytes without end", func(*testing.T) http.HandlerFunc { return endlessReply }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			vms := newHopVMs(t, 9, hopCatalogue(t, nil, false, newFakeTarget(t, okResponse)))
			vms[0].cutOff(t)
			vms[0].p.responseMemory = semaphore.NewWeighted(answerBytes)
			h := tt.handler(t)
			for _, v := range vms[1:] {
				v.handler = h
			}
			runtime.GC()
			// Earlier tests of the package leave some 90 proxies behind.
			before := heapInUse()
			var maxHeap atomic.Uint64
			stop := make(chan struct{})
			go watchHeap(&maxHeap, stop)
			var g sync.WaitGroup
			for i := range calls {
				g.Go(func() {
					r := httptest.NewRequest(http.MethodPost, "/once/x", strings.NewReader("in"))
					r.Host = "h.example"
					r.Header.Set(DefaultHeaders.RequestID, fmt.Sprintf("id-%d", i))
					r.Header.Set(DefaultHeaders.Deadline, "1500")
					w := &countingWriter{h: http.Header{}}
					vms[0].p.ServeHTTP(w, r)
					whole := w.status == 200 && w.n == 12<<20
					assert.Check(t, whole || w.status == 502 || w.status == 503 || w.status == 504, "status %d, %d bytes", w.status, w.n)
				})
			}
			g.Wait()
			close(stop)
			used := max(maxHeap.Load(), before) - before
			t.Logf("%d MB in use, and %d MB before", used>>20, before>>20)
			assert.Assert(t, used < vmBytes*3/4, "%d MB in use", used>>20)
			for _, v := range vms[1:] {
				v.handler = nil
			}
			time.Sleep(helperPause)
			assert.Equal(t, doRequestAs(vms[0].p, "later", "/safe/x").Code, 200)
			assert.Assert(t, vms[0].p.responseMemory.TryAcquire(answerBytes), "the memory is not released")
		})
	}
}

// countingWriter counts the bytes of a response.
type countingWriter struct {
	h      http.Header
	status int
	n      int
}

// Header returns the header.
func (c *countingWriter) Header() http.Header { return c.h }

// WriteHeader records the status.
func (c *countingWriter) WriteHeader(status int) { c.status = status }

// Write counts the bytes.
func (c *countingWriter) Write(b []byte) (int, error) {
	c.n += len(b)
	return len(b), nil
}

// heapInUse returns the memory in use.
func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
