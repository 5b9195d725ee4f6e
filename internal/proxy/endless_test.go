package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"
	"gotest.tools/v3/assert"
)

// endless writes bytes until the peer closes the connection.
func endless(c net.Conn, start, repeated string, pause time.Duration) bool {
	if _, err := io.WriteString(c, start); err != nil {
		return false
	}
	for {
		if _, err := io.WriteString(c, repeated); err != nil {
			return false
		}
		time.Sleep(pause)
	}
}

// Faulty targets send endless bytes that form no response. Callers get a correct failure in time,
// the connections are closed, the memory stays bounded, and the responses of healthy targets
// still arrive.
func TestEndlessResponses(t *testing.T) {
	const (
		okHead = "HTTP/1.1 200 OK\r\nEel-Request-Id: ID\r\nEel-Digest: d\r\n"
		kb     = 1 << 10
		endlessTargets,
		perTarget = 8, 4
		// The limits of a VM of 184 MB: what the daemon gives the garbage collector and large
		// responses.
		vmBytes     = 184 << 20
		answerBytes = vmBytes / 8
		deadline    = 600 * time.Millisecond
	)
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(vmBytes * 3 / 4))
	junk := strings.Repeat("x", 16*kb)
	tests := []struct {
		name     string
		start    string
		repeated string
		pause    time.Duration
		// status is the expected status.
		status int
		// breaksLater means that a connection which was healthy at first may break under a later
		// request, whose caller gets a 502 since its outcome is unknown.
		breaksLater bool
	}{
		{"no status line", "", junk, 0, 502, false},
		{"a header line", okHead + "X-Long: ", junk, 0, 502, false},
		{"many header lines", okHead, strings.Repeat("X-More: y\r\n", kb), 0, 502, false},
		{"interim responses", "", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100), 0, 502, false},
		{"a body with a length", okHead + "Content-Length: 99999999999\r\n\r\n", junk, 0, 502, false},
		{"a body with an allowed length", okHead + "Content-Length: 60000000\r\n\r\n", junk, 0, 502, false},
		{"a body without a length", okHead + "\r\n", junk, 0, 502, false},
		{"chunks", okHead + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + junk + "\r\n", 0, 502, false},
		{"a chunk's size", okHead + "Transfer-Encoding: chunked\r\n\r\n", "1;" + junk, 0, 502, false},
		{"trailers", okHead + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", strings.Repeat("X-More: y\r\n", kb), 0, 502, false},
		{"responses to other requests", "", strings.Replace(okResponse, "ID", "other", 1), 0, 502, false},
		{"a slow head", okHead, "X-More: y\r\n", 20 * time.Millisecond, 504, false},
		{"a slow body", okHead + "\r\n", "y", 20 * time.Millisecond, 504, false},
		{"after a response", okResponse, junk, 0, 200, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var targets []*fakeTarget
			for range endlessTargets {
				targets = append(targets, newRaw(t, func(c net.Conn, r *http.Request) bool {
					id := r.Header.Get(DefaultHeaders.RequestID)
					return endless(c, strings.ReplaceAll(tt.start, "ID", id), tt.repeated, tt.pause)
				}))
			}
			w := clusterOf(t, targets...)
			p := newProxy(w)
			p.responseMemory = semaphore.NewWeighted(answerBytes)
			defer p.Close()
			var maxHeap atomic.Uint64
			stop := make(chan struct{})
			go watchHeap(&maxHeap, stop)
			var g sync.WaitGroup
			var asExpected atomic.Int64
			for i := range endlessTargets * perTarget {
				g.Go(func() {
					from := time.Now()
					r := httptest.NewRequest(http.MethodPost, "/once/x", strings.NewReader("in"))
					r.Host = "h.example"
					r.Header.Set(DefaultHeaders.RequestID, fmt.Sprintf("id-%d", i))
					r.Header.Set(DefaultHeaders.Deadline, fmt.Sprint(deadline.Milliseconds()))
					a := httptest.NewRecorder()
					p.ServeHTTP(a, r)
					// A failing target is ejected, so some requests find none. Both bytes and
					// time are limited, and the machine's speed decides which limit is reached
					// first.
					inTime := a.Code == tt.status || a.Code == 504 && tt.status == 502
					assert.Check(t, inTime || a.Code == 503 || tt.breaksLater && a.Code == 502, "status %d: %s", a.Code, a.Body)
					if inTime {
						asExpected.Add(1)
					}
					assert.Check(t, a.Code != 200 || a.Body.String() == "body")
					assert.Check(t, time.Since(from) < deadline+2*lateResponseTimeout, "took %s", time.Since(from))
				})
			}
			g.Wait()
			close(stop)
			assert.Assert(t, asExpected.Load() > 0, "no request reached a target")
			assert.Assert(t, maxHeap.Load() < vmBytes, "%d MB in use", maxHeap.Load()>>20)
			for _, x := range targets {
				if x.requests() == 0 {
					continue
				}
				select {
				case <-x.closed:
				case <-time.After(4 * sweepInterval):
					t.Fatal("a connection is still open")
				}
			}
		})
	}
}

func watchHeap(maxHeap *atomic.Uint64, stop <-chan struct{}) {
	for {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		maxHeap.Store(max(maxHeap.Load(), m.HeapInuse+m.StackInuse))
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Large responses share a memory limit. One that exceeds it fails, and responses of the usual
// size are not delayed by it.
func TestLargeResponsesShareMemory(t *testing.T) {
	const large, all = 1 << 20, 4 << 20
	body := strings.Repeat("y", large)
	s := newRaw(t, func(c net.Conn, r *http.Request) bool {
		n := len(body)
		if strings.HasSuffix(r.URL.Path, "small") {
			n = 4
		}
		return writeResponse(c, r, fmt.Sprintf("HTTP/1.1 200 OK\r\nEel-Request-Id: ID\r\nEel-Digest: d\r\nContent-Length: %d\r\n\r\n%s", n, body[:n]))
	})
	p := newProxy(clusterOf(t, s))
	p.responseMemory = semaphore.NewWeighted(all)
	defer p.Close()
	assert.Equal(t, doRequestAs(p, "id-1", "/safe/large").Body.Len(), large)
	// The memory of a response is released after its delivery.
	for i := range 10 {
		assert.Equal(t, doRequestAs(p, fmt.Sprintf("id-1-%d", i), "/safe/large").Code, 200)
	}
	assert.Assert(t, p.responseMemory.TryAcquire(all))
	assert.Equal(t, doRequestAs(p, "id-2", "/once/large").Code, 502)
	p.responseMemory.Release(all)
	time.Sleep(2 * initialEjection)
	assert.Assert(t, p.responseMemory.TryAcquire(all))
	assert.Equal(t, doRequestAs(p, "id-3", "/once/small").Code, 200)
	p.responseMemory.Release(all)
}
