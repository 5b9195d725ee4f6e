// Package gzhttp compresses large HTTP messages between the processes of the system, so
// that a routing with many routes, or an initial catalogue, does not saturate the link of
// a small VM. Small messages are not compressed: that costs more than it saves.
//
// # Usage
//
//	client := &http.Client{Transport: gzhttp.Transport(key.Transport(t), gzhttp.CompressedResponses("/Pull"))}
//	server := key.Require(gzhttp.Handler(h))
//
// Responses are compressed if the request accepts that. Requests are compressed once the
// server has announced that it accepts compressed requests (RFC 7694), so that processes
// of different versions can communicate.
package gzhttp

import (
	"bytes"
	"compress/gzip"
	"hash/maphash"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/eelgrassroad/eelgrassroad/internal/errs"
)

// Kind classifies the errors of this package.
type Kind string

// KindTooLarge means that the decompressed message is too large.
const KindTooLarge Kind = "tooLarge"

// Error is the error of this package.
type Error = errs.Error[Kind]

const (
	// minBytes is the minimum size of a message that is compressed: about two packets.
	minBytes = 2 << 10
	// maxBytes is the maximum size of a decompressed message.
	maxBytes = 256 << 20
	// maxCachedBodies is the number of compressed responses that are cached: entries that wait
	// for the same change get the same response.
	maxCachedBodies = 4

	encoding = "gzip"
)

func compress(b []byte) []byte {
	var out bytes.Buffer
	z := writers.Get().(*gzip.Writer)
	defer writers.Put(z)
	z.Reset(&out)
	// Writes to a bytes.Buffer do not fail.
	_, _ = z.Write(b)
	_ = z.Close()
	return out.Bytes()
}

var writers = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// limitedReader decompresses up to maxBytes.
type limitedReader struct {
	z         *gzip.Reader
	raw       io.ReadCloser
	remaining int64
}

func newReader(raw io.ReadCloser) (io.ReadCloser, error) {
	z, err := gzip.NewReader(raw)
	if err != nil {
		return nil, err
	}
	return &limitedReader{z: z, raw: raw, remaining: maxBytes}, nil
}

// Read reads decompressed bytes.
func (l *limitedReader) Read(b []byte) (int, error) {
	n, err := l.z.Read(b)
	l.remaining -= int64(n)
	if l.remaining < 0 {
		return n, errs.Newf("gzhttp.Read", KindTooLarge, "message is over %d bytes", int64(maxBytes))
	}
	return n, err
}

// Close closes the underlying reader.
func (l *limitedReader) Close() error { return l.raw.Close() }

// Option is a setting of a transport.
type Option func(*transport)

// CompressedResponses requests compressed responses for paths with the given suffix.
func CompressedResponses(suffix string) Option {
	return func(t *transport) { t.suffix = suffix }
}

type transport struct {
	next   http.RoundTripper
	suffix string
	// acceptsGzip holds the hosts that accept compressed requests.
	acceptsGzip sync.Map
}

// Transport returns a transport that compresses large requests and decompresses responses.
func Transport(next http.RoundTripper, o ...Option) http.RoundTripper {
	t := &transport{next: next}
	for _, f := range o {
		f(t)
	}
	return t
}

// RoundTrip sends a request, and returns the response decompressed.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	c := r.Clone(r.Context())
	if t.suffix != "" && strings.HasSuffix(r.URL.Path, t.suffix) {
		c.Header.Set("Accept-Encoding", encoding)
	}
	large := r.ContentLength >= minBytes
	if _, ok := t.acceptsGzip.Load(r.URL.Host); ok && large {
		if err := compressRequest(c); err != nil {
			return nil, err
		}
	}
	a, err := t.next.RoundTrip(c)
	if err != nil {
		return nil, err
	}
	if large && a.Header.Get("Accept-Encoding") == encoding {
		t.acceptsGzip.Store(r.URL.Host, true)
	}
	if a.Header.Get("Content-Encoding") != encoding {
		return a, nil
	}
	if a.Body, err = newReader(a.Body); err != nil {
		return nil, err
	}
	a.Header.Del("Content-Encoding")
	a.ContentLength = -1
	return a, nil
}

func compressRequest(r *http.Request) error {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	if err := r.Body.Close(); err != nil {
		return err
	}
	p := compress(b)
	r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(p)), int64(len(p))
	r.GetBody = nil
	r.Header.Set("Content-Encoding", encoding)
	return nil
}

// Handler returns a handler that decompresses requests, and compresses large responses if
// the request accepts that.
func Handler(next http.Handler) http.Handler {
	var k cache
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength >= minBytes || r.Header.Get("Content-Encoding") != "" {
			w.Header().Set("Accept-Encoding", encoding)
		}
		if r.Header.Get("Content-Encoding") == encoding {
			b, err := newReader(r.Body)
			if err != nil {
				http.Error(w, "request cannot be unpacked: "+err.Error(), http.StatusBadRequest)
				return
			}
			r.Body, r.ContentLength = b, -1
			r.Header.Del("Content-Encoding")
		}
		if r.Header.Get("Accept-Encoding") != encoding {
			next.ServeHTTP(w, r)
			return
		}
		a := &bufferedResponse{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(a, r)
		b := a.body.Bytes()
		if len(b) >= minBytes {
			b = k.compressed(b)
			w.Header().Set("Content-Encoding", encoding)
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(b)))
		w.WriteHeader(a.status)
		// If the client has disconnected, it retries.
		_, _ = w.Write(b)
	})
}

// bufferedResponse buffers a response until it is complete.
type bufferedResponse struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

// WriteHeader records the status.
func (a *bufferedResponse) WriteHeader(status int) { a.status = status }

// Write appends to the buffered body.
func (a *bufferedResponse) Write(b []byte) (int, error) { return a.body.Write(b) }

// cache holds the most recent compressed responses.
type cache struct {
	mu   sync.Mutex
	seed maphash.Seed
	list []cachedBody
}

type cachedBody struct {
	hash           uint64
	plain, gzipped []byte
}

// compressed returns a response in compressed form. Concurrent calls for the same response
// wait for the first, so that it is compressed once.
func (k *cache) compressed(b []byte) []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.list == nil {
		k.seed = maphash.MakeSeed()
	}
	h := maphash.Bytes(k.seed, b)
	i := slices.IndexFunc(k.list, func(x cachedBody) bool { return x.hash == h && bytes.Equal(x.plain, b) })
	if i >= 0 {
		return k.list[i].gzipped
	}
	x := cachedBody{hash: h, plain: bytes.Clone(b), gzipped: compress(b)}
	k.list = append(k.list, x)
	k.list = k.list[max(0, len(k.list)-maxCachedBodies):]
	return x.gzipped
}
