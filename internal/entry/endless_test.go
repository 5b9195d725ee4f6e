package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/pool"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
	"gotest.tools/v3/assert"
)

// endlessServer answers each request with a start, which may name the request as ID, and bytes that are repeated
// until the caller closes. It returns its address.
func endlessServer(t *testing.T, start, repeated string) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { lis.Close() })
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, err = io.WriteString(c, strings.ReplaceAll(start, "ID", r.Header.Get(wire.HeaderRequestID)))
				for err == nil {
					_, err = io.WriteString(c, repeated)
				}
			}()
		}
	}()
	return lis.Addr().String()
}

// Faulty targets send bytes without end. The entry that called them fails the requests, and its memory stays bounded: a
// VM of 184 MB must not end with the requests of other callers.
func TestEndlessTargets(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\n" + wire.HeaderRequestID + ": ID\r\n"
		kb      = 1 << 10
		calls   = 32
		vmBytes = 184 << 20
		timeout = 600 * time.Millisecond
		// maxAnswer is the largest answer of the class; a call may hold a few copies of it.
		maxAnswer = 1 << 20
	)
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(vmBytes * 3 / 4))
	junk := strings.Repeat("x", 16*kb)
	tests := []struct{ name, start, repeated string }{
		{"no status line", "", junk},
		{"a header line", head + "X-Long: ", junk},
		{"many header lines", head, strings.Repeat("X-More: y\r\n", kb)},
		{"interim responses", "", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100)},
		{"a body with a length", head + "Content-Length: 99999999999\r\n\r\n", junk},
		{"a body without a length", head + "\r\n", junk},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + junk + "\r\n"},
		{"a chunk's size", head + "Transfer-Encoding: chunked\r\n\r\n", "1;" + junk},
		{"trailers", head + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", strings.Repeat("X-More: y\r\n", kb)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			addr := endlessServer(t, tt.start, tt.repeated)
			x := newOwner(t, addr)
			var own []pool.Target
			for i := range calls {
				own = append(own, pool.Target{ID: model.TargetID(fmt.Sprint(i)), Addr: addr, Domain: "a-1", Slots: 1, Incarnation: 1, Ready: true, AnnouncedAt: x.now()})
			}
			x.pools.setOwned(map[model.ServiceID][]pool.Target{"s": own})
			for _, o := range own {
				x.pools.get("s").Update(o)
			}
			runtime.GC() // What earlier tests left does not count.
			var maxHeap atomic.Uint64
			stop := make(chan struct{})
			go watchHeap(&maxHeap, stop)
			var g sync.WaitGroup
			var sent atomic.Int64
			for range calls {
				g.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), timeout)
					defer cancel()
					j := &job{id: "id-1", service: "s", method: http.MethodPost, path: "/", deadline: x.now() + timeout, cls: model.Class{Delivery: model.AtMostOnce, MaxAnswerBytes: maxAnswer}}
					ticket, err := x.pools.get("s").Admit(pool.Request{Deadline: j.deadline, MaxQueued: calls, Domain: "a-1"})
					if err != nil {
						return // The target is ejected after its failures.
					}
					s, err := ticket.Wait(ctx)
					if err != nil {
						return
					}
					sent.Add(1)
					r := x.dispatch(ctx, j, s, ownerArgs{permit: &permit{}})
					assert.Check(t, r.kind == resultBroken, "%s", r.reason)
				})
			}
			g.Wait()
			close(stop)
			t.Logf("%d calls, %d MB in use", sent.Load(), maxHeap.Load()>>20)
			assert.Assert(t, sent.Load() > calls/2, "only %d calls reached a target", sent.Load())
			assert.Assert(t, maxHeap.Load() < vmBytes, "%d MB in use", maxHeap.Load()>>20)
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
		case <-time.After(10 * time.Millisecond):
		}
	}
}
