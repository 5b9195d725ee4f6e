package caller

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/probe"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
)

// probeEvery is how often an entry that did not answer is probed.
const probeEvery = time.Second

// health is what the client knows of entries: when each last answered, and
// which are passed over until they answer a probe.
type health struct {
	probe func(ctx context.Context, addr string) error

	mu       sync.Mutex
	seen     map[string]time.Time
	surveyAt time.Time
	// bad holds when an entry that did not answer may be probed again.
	bad map[string]time.Time
}

func (h *health) init(p func(context.Context, string) error) {
	h.probe, h.seen, h.bad = p, map[string]time.Time{}, map[string]time.Time{}
}

// answered notes a sign of life.
func (h *health) answered(addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seen[addr] = time.Now()
	delete(h.bad, addr)
}

// failed passes an entry over from now on.
func (h *health) failed(addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bad[addr] = time.Now().Add(probeEvery)
}

// isBad tells whether an entry is passed over.
func (h *health) isBad(addr string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, bad := h.bad[addr]
	return bad
}

// silent tells whether an entry gave no sign of life just now.
func (h *health) silent(addr string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.seen[addr]) >= silentAfter
}

// check asks an entry for a sign of life, unless there was one just now.
func (h *health) check(ctx context.Context, addr string) error {
	if !h.silent(addr) {
		return nil
	}
	err := h.probe(ctx, addr)
	if err == nil {
		h.answered(addr)
	}
	return err
}

// checkNow checks an entry beside all requests.
func (h *health) checkNow(addr string) error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return h.check(ctx, addr)
}

// pick returns the best entry that was not tried. Those that did not answer
// come last, and are probed beside the request.
func (h *health) pick(list []wire.Entry, tried map[string]bool) (string, bool) {
	second := ""
	for _, e := range list {
		if tried[e.Addr] {
			continue
		}
		if !h.isBad(e.Addr) {
			return e.Addr, true
		}
		h.recheck(e.Addr)
		if second == "" {
			second = e.Addr
		}
	}
	return second, second != ""
}

// survey probes all entries of a list that did not answer just now: where one
// is silent, others of its region may be too.
func (h *health) survey(list []wire.Entry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if time.Since(h.surveyAt) < probeEvery {
		return
	}
	h.surveyAt = time.Now()
	for _, e := range list {
		if time.Since(h.seen[e.Addr]) < silentAfter {
			continue
		}
		go func() {
			if h.checkNow(e.Addr) != nil {
				h.failed(e.Addr)
			}
		}()
	}
}

// recheck probes an entry that is passed over, if that is due.
func (h *health) recheck(addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if time.Now().Before(h.bad[addr]) {
		return
	}
	h.bad[addr] = time.Now().Add(probeEvery)
	go func() {
		// An entry that stays silent stays passed over.
		_ = h.checkNow(addr)
	}()
}

// ping asks an entry whether it serves.
func (c *Client) ping(ctx context.Context, addr string) error {
	return probe.Get(ctx, c.c, "http://"+addr+wire.PathHealth)
}
