package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"gotest.tools/v3/assert"
)

// upload sends a body of a known or, in chunks, of an unknown length.
func upload(p http.Handler, path, body string, chunks bool) *httptest.ResponseRecorder {
	var in io.Reader = strings.NewReader(body)
	if chunks {
		in = struct{ io.Reader }{in}
	}
	r := httptest.NewRequest(http.MethodPost, path, in)
	r.Host = "h.example"
	r.Header.Set(DefaultHeaders.RequestID, "id-1")
	w := httptest.NewRecorder()
	p.ServeHTTP(w, r)
	return w
}

// A body of any size reaches the target whole, also the second one after the first has failed.
func TestBodyArrivesWhole(t *testing.T) {
	var text strings.Builder
	for i := range 500_000 {
		fmt.Fprintf(&text, "%06d", i)
	}
	for _, size := range []int{1, 4095, 4096, 4097, 12 << 10, 32 << 10, 32<<10 + 1, 1 << 20, 2_500_000} {
		for _, chunks := range []bool{false, true} {
			t.Run(fmt.Sprint(size, chunks), func(t *testing.T) {
				a, b := newFakeTarget(t, hangUp, okResponse), newFakeTarget(t, hangUp, okResponse)
				p := newProxy(clusterOf(t, a, b))
				body := text.String()[:size]
				w := upload(p, "/safe/x", body, chunks)
				assert.Equal(t, w.Code, http.StatusBadGateway)
				assert.Equal(t, a.requests()+b.requests(), 2)
				for _, got := range append(a.bodies, b.bodies...) {
					assert.Assert(t, got == body, "%d of %d bytes, or others", len(got), size)
				}
				assert.Assert(t, p.bodyMemory.TryAcquire(DefaultMaxBodyBytes), "the memory of the body was not released")
			})
		}
	}
}

// Clients send large bodies at the same time. Together they take no more than the memory that is kept
// for them; the others are refused at once and may be sent again, and small requests are served.
// Read without a bound, they ended the process, beside all requests in progress.
func TestLargeBodiesAtTheSameTime(t *testing.T) {
	const pool, size, uploads = 8 << 20, 5 << 20, 6
	s := newFakeTarget(t, okAfter(300*time.Millisecond))
	w := clusterOf(t, s)
	o := newProxy(w).o
	o.MaxBodyBytes = pool
	p := New(o)
	body := strings.Repeat("b", size)
	for round := range 2 {
		var served, refusals atomic.Int64
		var g sync.WaitGroup
		for i := range uploads {
			g.Go(func() {
				switch x := upload(p, "/once/x", body, i > 2); x.Code {
				case http.StatusOK:
					served.Add(1)
				case http.StatusServiceUnavailable:
					assert.Check(t, x.Header().Get("Retry-After") != "")
					refusals.Add(1)
				default:
					t.Errorf("status %d", x.Code)
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, upload(p, "/once/x", "small", false).Code, http.StatusOK)
		g.Wait()
		assert.Assert(t, served.Load() >= 1 && served.Load()+refusals.Load() == uploads, "round %d: %d served, %d refused", round, served.Load(), refusals.Load())
		assert.Equal(t, upload(p, "/once/x", body, round == 0).Code, http.StatusOK, "round %d: one alone", round)
	}
}

// A body that is cut, or longer than the bound, is not passed on.
func TestBodiesNotPassedOn(t *testing.T) {
	errCut := errors.New("cut")
	tests := []struct {
		name   string
		body   io.Reader
		length int64
		limit  int64
		status int
	}{
		{"cut", io.MultiReader(strings.NewReader("abc"), errReader{errCut}), 10, 100, http.StatusBadRequest},
		{"cut in chunks", io.MultiReader(strings.NewReader("abc"), errReader{io.ErrUnexpectedEOF}), -1, 100, http.StatusBadRequest},
		{"too long", strings.NewReader(strings.Repeat("b", 101)), 101, 100, http.StatusRequestEntityTooLarge},
		{"too long in chunks", strings.NewReader(strings.Repeat("b", 101)), -1, 100, http.StatusRequestEntityTooLarge},
		{"as long as allowed", strings.NewReader(strings.Repeat("b", 100)), -1, 100, http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newFakeTarget(t, okResponse)
			c := clusterOf(t, s)
			c.c.Routing.Limits.MaxBodyBytes = tt.limit
			r := httptest.NewRequest(http.MethodPost, "/once/x", tt.body)
			r.Host, r.ContentLength = "h.example", tt.length
			r.Header.Set(DefaultHeaders.RequestID, "id-1")
			w := httptest.NewRecorder()
			newProxy(c).ServeHTTP(w, r)
			assert.Equal(t, w.Code, tt.status)
			assert.Equal(t, s.requests() == 1, tt.status == http.StatusOK)
		})
	}
}

type errReader struct{ err error }

func (r errReader) Read([]byte) (int, error) { return 0, r.err }

// A caller stops in the middle of a large body. Its request ends at the deadline with a status that
// says it has not run, and the memory for its body is free again. One that was sent in time is served on
// the same connection for longer than the body had.
func TestStalledBody(t *testing.T) {
	s := newFakeTarget(t, okAfter(400*time.Millisecond))
	w := clusterOf(t, s)
	w.setRoutes(func(r *model.Route) { r.TimeoutMillis = 700 })
	p := newProxy(w)
	srv := httptest.NewServer(p)
	defer srv.Close()
	c, err := net.Dial("tcp", srv.Listener.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	in := bufio.NewReader(c)
	head := "POST /once/x HTTP/1.1\r\nHost: h.example\r\nEel-Request-Id: id-1\r\nContent-Length: 100000\r\n\r\n"
	body := strings.Repeat("b", 100_000)
	for range 2 {
		_, err = io.WriteString(c, head+body)
		assert.NilError(t, err)
		r, err := http.ReadResponse(in, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, r.Body)
		assert.NilError(t, err)
		assert.NilError(t, r.Body.Close())
		assert.Equal(t, r.StatusCode, http.StatusOK)
	}
	_, err = io.WriteString(c, head+body[:50_000])
	assert.NilError(t, err)
	from := time.Now()
	r, err := http.ReadResponse(in, nil)
	assert.NilError(t, err)
	defer r.Body.Close()
	assert.Equal(t, r.StatusCode, http.StatusRequestTimeout)
	assert.Assert(t, time.Since(from) < 2*time.Second)
	assert.Equal(t, s.requests(), 2)
	for end := time.Now().Add(time.Second); !p.bodyMemory.TryAcquire(DefaultMaxBodyBytes); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the memory of the body was not released")
	}
}
