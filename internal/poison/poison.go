// Package poison finds the requests that end the targets which run them (poison messages, or
// queries of death), so that they are not sent on.
//
// A request is identified by a digest of what makes it the same request when it comes again: its
// method, host, URI, caller and body. VMs report to the leading replica which requests were in
// flight at a target when it ended, and whether one of them got a whole response elsewhere. The
// leader's Ledger decides: a request that was in flight at the ends of targets at two moments
// in a row is suspected, at three it is banned. A whole response in between clears it: a target runs several requests at once, and
// one that is popular is in flight at many ends without being their cause.
//
// # Usage
//
//	d := poison.Identify(key, poison.Identity{Method: "GET", Host: "h", URI: "/a"})
//	l := poison.NewLedger(poison.Options{})
//	l.RecordEnd(poison.End{VM: "v1", Target: "t1", Incarnation: 7, At: now, Requests: []poison.Request{{Digest: d}}})
//	for _, x := range l.Decide(now) { ... }
//
// The package needs no network; package proxy observes, package server decides and commits.
package poison

import (
	"encoding/binary"
	"hash"
	"strings"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/auth"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// Identity is what makes two attempts the same request.
type Identity struct {
	Method, Host, URI string
	// Caller is the workspace of the caller, or what else names it.
	Caller string
	// Body is the body in parts.
	Body [][]byte
}

// Identify returns the digest of a request. It depends on the key of the deployment, so that nobody
// outside can make a request that has the digest of another one.
func Identify(k *auth.Key, x Identity) model.RequestDigest {
	h := k.NewMAC()
	for _, s := range []string{"request", x.Method, strings.ToLower(x.Host), x.URI, x.Caller} {
		writeField(h, []byte(s))
	}
	for _, b := range x.Body {
		h.Write(b)
	}
	return model.RequestDigest(h.Sum(nil)[:len(model.RequestDigest{})])
}

// writeField writes a field with its length, so that the end of one field cannot be read as the
// start of the next.
func writeField(h hash.Hash, b []byte) {
	h.Write(binary.AppendUvarint(nil, uint64(len(b))))
	h.Write(b)
}

// Recent remembers the last requests that got whole responses, and when their sends started.
type Recent struct {
	mu    sync.Mutex
	at    map[model.RequestDigest]time.Duration
	order []model.RequestDigest
	next  int
}

// NewRecent returns an empty memory of up to n requests.
func NewRecent(n int) *Recent {
	return &Recent{at: make(map[model.RequestDigest]time.Duration), order: make([]model.RequestDigest, 0, n)}
}

// Add records that a send which started at a time got a whole response.
func (r *Recent) Add(d model.RequestDigest, startedAt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at, ok := r.at[d]; ok {
		r.at[d] = max(at, startedAt)
		return
	}
	if len(r.order) < cap(r.order) {
		r.order = append(r.order, d)
	} else {
		delete(r.at, r.order[r.next])
		r.order[r.next] = d
		r.next = (r.next + 1) % len(r.order)
	}
	r.at[d] = startedAt
}

// StartedAt returns when the last such send of a request started, and whether one is remembered.
func (r *Recent) StartedAt(d model.RequestDigest) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.at[d]
	return at, ok
}
