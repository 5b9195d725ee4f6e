// Package gzhttp compresses large messages between the project's own processes, so
// that a routing of many routes, or a first catalogue, does not fill the link of a
// small VM. Small messages stay as they are: compressing them costs more than it
// saves.
//
// # Usage
//
//	client := &http.Client{Transport: gzhttp.Transport(key.Transport(t), gzhttp.Answers("/Pull"))}
//	server := key.Require(gzhttp.Handler(h))
//
// Answers are compressed where the request accepts it. Requests are compressed once
// the other side has said that it understands that (RFC 7694), so that processes of
// different versions can talk to each other.
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

// Kind tells the errors of the package apart.
type Kind string

// KindTooLarge means that a message is too large once it is unpacked.
const KindTooLarge Kind = "tooLarge"

// Error is the error of this package.
type Error = errs.Error[Kind]

const (
	// leastBytes is the smallest message that is compressed: two packets or so.
	leastBytes = 2 << 10
	// mostBytes bounds a message that is unpacked.
	mostBytes = 256 << 20
	// keptBodies is how many answers are kept compressed: entries that wait for the
	// same change get the same answer.
	keptBodies = 4

	encoding = "gzip"
)

func compress(b []byte) []byte {
	var out bytes.Buffer
	z := writers.Get().(*gzip.Writer)
	defer writers.Put(z)
	z.Reset(&out)
	// Writing to a buffer does not fail.
	_, _ = z.Write(b)
	_ = z.Close()
	return out.Bytes()
}

var writers = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// limited unpacks up to mostBytes.
type limited struct {
	z    *gzip.Reader
	raw  io.ReadCloser
	left int64
}

func unpacked(raw io.ReadCloser) (io.ReadCloser, error) {
	z, err := gzip.NewReader(raw)
	if err != nil {
		return nil, err
	}
	return &limited{z: z, raw: raw, left: mostBytes}, nil
}

// Read reads what is unpacked.
func (l *limited) Read(b []byte) (int, error) {
	n, err := l.z.Read(b)
	l.left -= int64(n)
	if l.left < 0 {
		return n, errs.Newf("gzhttp.Read", KindTooLarge, "message is over %d bytes", int64(mostBytes))
	}
	return n, err
}

// Close closes what is read from.
func (l *limited) Close() error { return l.raw.Close() }

// Option is a setting of a transport.
type Option func(*transport)

// CompressedResponses asks for compressed answers where the path ends so.
func CompressedResponses(suffix string) Option {
	return func(t *transport) { t.suffix = suffix }
}

type transport struct {
	next   http.RoundTripper
	suffix string
	// understands are the hosts that take compressed requests.
	understands sync.Map
}

// Transport returns a transport that compresses large requests and unpacks answers.
func Transport(next http.RoundTripper, o ...Option) http.RoundTripper {
	t := &transport{next: next}
	for _, f := range o {
		f(t)
	}
	return t
}

// RoundTrip sends a request.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	c := r.Clone(r.Context())
	if t.suffix != "" && strings.HasSuffix(r.URL.Path, t.suffix) {
		c.Header.Set("Accept-Encoding", encoding)
	}
	large := r.ContentLength >= leastBytes
	if _, ok := t.understands.Load(r.URL.Host); ok && large {
		if err := packRequest(c); err != nil {
			return nil, err
		}
	}
	a, err := t.next.RoundTrip(c)
	if err != nil {
		return nil, err
	}
	if large && a.Header.Get("Accept-Encoding") == encoding {
		t.understands.Store(r.URL.Host, true)
	}
	if a.Header.Get("Content-Encoding") != encoding {
		return a, nil
	}
	if a.Body, err = unpacked(a.Body); err != nil {
		return nil, err
	}
	a.Header.Del("Content-Encoding")
	a.ContentLength = -1
	return a, nil
}

func packRequest(r *http.Request) error {
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

// Handler returns a handler that unpacks requests, and compresses large answers
// where the request accepts it.
func Handler(next http.Handler) http.Handler {
	var k kept
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength >= leastBytes || r.Header.Get("Content-Encoding") != "" {
			w.Header().Set("Accept-Encoding", encoding)
		}
		if r.Header.Get("Content-Encoding") == encoding {
			b, err := unpacked(r.Body)
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
		a := &answer{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(a, r)
		b := a.body.Bytes()
		if len(b) >= leastBytes {
			b = k.compressed(b)
			w.Header().Set("Content-Encoding", encoding)
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(b)))
		w.WriteHeader(a.status)
		// The other side may have gone; it asks again.
		_, _ = w.Write(b)
	})
}

// answer keeps an answer until it is whole.
type answer struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

// WriteHeader notes the status.
func (a *answer) WriteHeader(status int) { a.status = status }

// Write keeps a part of the body.
func (a *answer) Write(b []byte) (int, error) { return a.body.Write(b) }

// kept are the answers compressed last.
type kept struct {
	mu   sync.Mutex
	seed maphash.Seed
	list []keptBody
}

type keptBody struct {
	hash            uint64
	plain, squeezed []byte
}

// compressed returns an answer compressed. Those who need the same one at the same
// time wait for the first.
func (k *kept) compressed(b []byte) []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.list == nil {
		k.seed = maphash.MakeSeed()
	}
	h := maphash.Bytes(k.seed, b)
	i := slices.IndexFunc(k.list, func(x keptBody) bool { return x.hash == h && bytes.Equal(x.plain, b) })
	if i >= 0 {
		return k.list[i].squeezed
	}
	x := keptBody{hash: h, plain: bytes.Clone(b), squeezed: compress(b)}
	k.list = append(k.list, x)
	k.list = k.list[max(0, len(k.list)-keptBodies):]
	return x.squeezed
}
