package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/steer"
	"github.com/labstack/echo/v4"
)

// An answer that is larger than what its ingress entry has reserved on the link is sent in
// parts: the owner stores the remainder, and the ingress entry fetches it as fast as its
// share of the link allows. Bytes already written to a connection could not be held back.
const (
	pathRemainder   = "/internal/v1/rest"
	headerReserved  = "Eel-Hop-Reserved"
	headerTotal     = "Eel-Hop-Total"
	headerRemainder = "Eel-Hop-Rest"
	// remainderTTL is how long an owner stores a remainder that is not fetched.
	remainderTTL = 10 * time.Second
	// maxRemainders bounds how many remainders an owner stores.
	maxRemainders = 4096
	// remainderChunkBytes bounds the part of a remainder that one request fetches.
	remainderChunkBytes = 16 << 10
)

type remainder struct {
	body      []byte
	expiresAt time.Duration
}

// remainders holds, by token, the parts of answers that ingress entries have yet to fetch.
type remainders struct {
	mu sync.Mutex
	m  map[string]*remainder
}

// store stores a remainder and returns its token, or false where too many are stored.
func (r *remainders) store(b []byte, now time.Duration) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.m == nil {
		r.m = map[string]*remainder{}
	}
	for t, x := range r.m {
		if now > x.expiresAt {
			delete(r.m, t)
		}
	}
	if len(r.m) >= maxRemainders {
		return "", false
	}
	t := strconv.FormatUint(rand.Uint64(), 16)
	r.m[t] = &remainder{body: b, expiresAt: now + remainderTTL}
	return t, true
}

// take removes and returns the next bytes of a remainder, at most n.
func (r *remainders) take(token string, n int, now time.Duration) ([]byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x, ok := r.m[token]
	if !ok || now > x.expiresAt || n <= 0 {
		return nil, false
	}
	n = min(n, len(x.body))
	b := x.body[:n]
	x.body = x.body[n:]
	if len(x.body) == 0 {
		delete(r.m, token)
	}
	return b, true
}

// firstPart returns the part of an answer that is sent at once. It stores the remainder and
// sets the headers for it, or returns false where too many remainders are stored.
func (x *Entry) firstPart(h http.Header, reserved string, body []byte) ([]byte, bool) {
	n, err := strconv.Atoi(reserved)
	if err != nil || len(body) <= n {
		return body, true
	}
	t, ok := x.remainders.store(body[n:], x.now())
	if !ok {
		return nil, false
	}
	h.Set(headerRemainder, t)
	h.Set(headerTotal, strconv.Itoa(len(body)))
	return body[:n], true
}

// remainderHandler serves remainders to requests that are signed with the deployment's key.
func (x *Entry) remainderHandler() echo.HandlerFunc {
	return echo.WrapHandler(x.o.Key.Require(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := strconv.Atoi(r.Header.Get(headerReserved))
		if err != nil {
			http.Error(w, "header "+headerReserved+" is no number", http.StatusBadRequest)
			return
		}
		b, ok := x.remainders.take(r.Header.Get(headerRemainder), n, x.now())
		if !ok {
			http.Error(w, "the rest of the answer is gone", http.StatusGone)
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(b)))
		// An ingress entry that has disconnected gets no response.
		_, _ = w.Write(b)
	})))
}

// fetchRemainder completes the first part of an answer with its remainder, at the rate that
// the share of the link allows.
func (x *Entry) fetchRemainder(ctx context.Context, s *steer.Site, p *permit, h http.Header, b []byte, maxBytes int64) ([]byte, error) {
	total, err := strconv.Atoi(h.Get(headerTotal))
	if err != nil || int64(total) > maxBytes || p == nil || p.inbound == nil {
		return nil, fmt.Errorf("answer of %q bytes cannot be completed", h.Get(headerTotal))
	}
	for len(b) < total {
		n := min(total-len(b), remainderChunkBytes)
		if err := x.acquireInbound(ctx, p, int64(n)+headerBytes); err != nil {
			return nil, err
		}
		part, err := x.fetchPart(ctx, s, h.Get(headerRemainder), n)
		if err != nil {
			return nil, err
		}
		b = append(b, part...)
	}
	return b, nil
}

// acquireInbound takes n bytes of the inbound link, and waits until the share has spare
// capacity for them.
func (x *Entry) acquireInbound(ctx context.Context, p *permit, n int64) error {
	for !p.inbound.Take(n, x.now()) {
		sleep(ctx, max(time.Millisecond, p.inbound.Wait(n, x.now())))
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

func (x *Entry) fetchPart(ctx context.Context, s *steer.Site, token string, n int) ([]byte, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Addr+pathRemainder, bytes.NewReader(nil))
	if err != nil {
		return nil, err
	}
	q.Header.Set(headerRemainder, token)
	q.Header.Set(headerReserved, strconv.Itoa(n))
	res, err := x.peerClient.Do(q)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, int64(n)+1))
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK || len(b) != n {
		return nil, fmt.Errorf("part has %d bytes of %d, status %d", len(b), n, res.StatusCode)
	}
	return b, nil
}
