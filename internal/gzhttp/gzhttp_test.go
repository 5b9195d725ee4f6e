package gzhttp

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/eelgrassroad/eelgrassroad/internal/auth"
	"gotest.tools/v3/assert"
)

// recorder records the sizes of requests and answers.
type recorder struct {
	next http.RoundTripper

	mu       sync.Mutex
	sent     []int64
	received []int64
}

// RoundTrip forwards a request.
func (w *recorder) RoundTrip(r *http.Request) (*http.Response, error) {
	a, err := w.next.RoundTrip(r)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent = append(w.sent, r.ContentLength)
	if err == nil {
		w.received = append(w.received, a.ContentLength)
	}
	return a, err
}

// echo answers with the body of the request.
func echo(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(b)))
	w.WriteHeader(http.StatusAccepted)
	_, _ = w.Write(b)
}

func post(t *testing.T, rt http.RoundTripper, url, body string) string {
	t.Helper()
	a, err := (&http.Client{Transport: rt}).Post(url, "text/plain", strings.NewReader(body))
	assert.NilError(t, err)
	defer a.Body.Close()
	assert.Equal(t, a.StatusCode, http.StatusAccepted)
	b, err := io.ReadAll(a.Body)
	assert.NilError(t, err)
	return string(b)
}

func plainTransport() *http.Transport { return &http.Transport{DisableCompression: true} }

// Large messages are compressed if both peers support it, small ones never are, and the
// receiver gets all as they were sent. Signatures cover the compressed messages.
func TestMessages(t *testing.T) {
	large, small := strings.Repeat("route after route, ", 10_000), "heartbeat"
	key := auth.NewKey("k")
	tests := []struct {
		name        string
		legacy      bool
		path        string
		body        string
		sent, reply bool
	}{
		{"large request and answer", false, "/Pull", large, true, true},
		{"large request", false, "/Step", large, true, false},
		{"small", false, "/Pull", small, false, false},
		{"server without compression", true, "/Pull", large, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := http.Handler(http.HandlerFunc(echo))
			if !tt.legacy {
				h = Handler(h)
			}
			s := httptest.NewServer(key.Require(h))
			defer s.Close()
			w := &recorder{next: key.Transport(plainTransport())}
			rt := Transport(w, CompressedResponses("/Pull"))
			for range 3 {
				assert.Equal(t, post(t, rt, s.URL+tt.path, tt.body), tt.body)
			}
			gzipped := func(n int64) bool { return n < int64(len(tt.body))/4 }
			assert.Assert(t, !gzipped(w.sent[0]), "the first request is compressed before the server announced support")
			assert.Equal(t, gzipped(w.sent[2]), tt.sent)
			assert.Equal(t, gzipped(w.received[2]), tt.reply)
		})
	}
}

// A request that cannot be decompressed is rejected.
func TestInvalidEncoding(t *testing.T) {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/Step", strings.NewReader("not gzip"))
	r.Header.Set("Content-Encoding", encoding)
	Handler(http.HandlerFunc(echo)).ServeHTTP(w, r)
	assert.Equal(t, w.Code, http.StatusBadRequest)
}

// An answer that many entries get at the same time is compressed once.
func TestSameAnswerIsCompressedOnce(t *testing.T) {
	var k cache
	b := bytes.Repeat([]byte("routes"), 10_000)
	first := k.compressed(b)
	for range 20 {
		next := k.compressed(bytes.Clone(b))
		assert.Assert(t, &next[0] == &first[0])
	}
	for i := range maxCachedBodies {
		k.compressed(append(bytes.Clone(b), byte(i)))
	}
	assert.Equal(t, len(k.list), maxCachedBodies)
}

// catalogue returns an initial catalogue in its form on the wire: targets with random
// names, and a routing.
func catalogue(targets, routes int) []byte {
	r := rand.New(rand.NewPCG(1, 1))
	var b bytes.Buffer
	for i := range targets {
		fmt.Fprintf(&b, `target i-%010x {"service":"registry","failureDomain":"d-%d","addr":"10.%d.64.%d:8622","slots":3,"state":"ready","incarnation":17716477%05d}`,
			r.Uint64()>>24, i%9, i%9, i%200, r.IntN(100_000))
	}
	for range routes {
		fmt.Fprintf(&b, `{"name":"r-%07x","prefix":"/%07x/","delivery":"idempotent","objectiveMillis":500,"timeoutMillis":3000,"priority":2,"affinity":true,"maxAttempts":2,"split":[{"service":"registry","weight":1}]}`,
			r.Uint32(), r.Uint32())
	}
	return b.Bytes()
}

// Load pattern: every entry fetches the complete catalogue over a link of 2 Mbit/s. The
// transfer must take well under a second.
func TestInitialCatalogueOnSlowLink(t *testing.T) {
	const (
		bytesPerSecond = 2_000_000 / 8
		maxSeconds     = 0.5
	)
	tests := []struct{ targets, routes int }{{807, 3}, {807, 1700}}
	for _, tt := range tests {
		b := catalogue(tt.targets, tt.routes)
		s := float64(len(compress(b))) / bytesPerSecond
		t.Logf("%d targets, %d routes: %d bytes, %d compressed", tt.targets, tt.routes, len(b), len(compress(b)))
		assert.Assert(t, s < maxSeconds, "transfer takes %.2f s", s)
	}
}

func BenchmarkCompress(b *testing.B) {
	c := catalogue(807, 1700)
	for b.Loop() {
		compress(c)
	}
}

func BenchmarkUnpack(b *testing.B) {
	c := compress(catalogue(807, 1700))
	for b.Loop() {
		r, err := newReader(io.NopCloser(bytes.NewReader(c)))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, r); err != nil {
			b.Fatal(err)
		}
	}
}
