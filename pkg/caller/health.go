package caller

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/probe"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
)

// probeInterval is the minimum time between two probes of an ejected entry, and between
// two calls of probeAll that probe.
const probeInterval = time.Second

// health tracks when each entry last answered, and which entries are ejected until they
// answer a probe.
type health struct {
	probe func(ctx context.Context, addr string) error

	mu          sync.Mutex
	lastSeen    map[string]time.Time
	probedAllAt time.Time
	// ejected maps an ejected entry to the time from which it may be probed again.
	ejected map[string]time.Time
}

func (h *health) init(p func(context.Context, string) error) {
	h.probe, h.lastSeen, h.ejected = p, map[string]time.Time{}, map[string]time.Time{}
}

// recordResponse records a response of an entry and ends its ejection.
func (h *health) recordResponse(addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastSeen[addr] = time.Now()
	delete(h.ejected, addr)
}

// failed ejects an entry.
func (h *health) failed(addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ejected[addr] = time.Now().Add(probeInterval)
}

// isEjected reports whether an entry is ejected.
func (h *health) isEjected(addr string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ejected := h.ejected[addr]
	return ejected
}

// isUnresponsive reports whether an entry has not answered within the last probeAfter.
func (h *health) isUnresponsive(addr string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.lastSeen[addr]) >= probeAfter
}

// check probes an entry, unless it has answered within the last probeAfter.
func (h *health) check(ctx context.Context, addr string) error {
	if !h.isUnresponsive(addr) {
		return nil
	}
	err := h.probe(ctx, addr)
	if err == nil {
		h.recordResponse(addr)
	}
	return err
}

// checkDetached checks an entry independently of any request.
func (h *health) checkDetached(addr string) error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return h.check(ctx, addr)
}

// pick returns the best entry that was not tried. Ejected entries come last, and are
// probed in the background.
func (h *health) pick(list []wire.Entry, tried map[string]bool) (string, bool) {
	fallback := ""
	for _, e := range list {
		if tried[e.Addr] {
			continue
		}
		if !h.isEjected(e.Addr) {
			return e.Addr, true
		}
		h.probeEjected(e.Addr)
		if fallback == "" {
			fallback = e.Addr
		}
	}
	return fallback, fallback != ""
}

// probeAll probes all entries of a list that have not answered within the last probeAfter:
// if one is unresponsive, others of its region may be too.
func (h *health) probeAll(list []wire.Entry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if time.Since(h.probedAllAt) < probeInterval {
		return
	}
	h.probedAllAt = time.Now()
	for _, e := range list {
		if time.Since(h.lastSeen[e.Addr]) < probeAfter {
			continue
		}
		go func() {
			if h.checkDetached(e.Addr) != nil {
				h.failed(e.Addr)
			}
		}()
	}
}

// probeEjected probes an ejected entry if a probe is due.
func (h *health) probeEjected(addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if time.Now().Before(h.ejected[addr]) {
		return
	}
	h.ejected[addr] = time.Now().Add(probeInterval)
	go func() {
		// The entry remains ejected if it does not answer.
		_ = h.checkDetached(addr)
	}()
}

// ping sends a health check to an entry.
func (c *Client) ping(ctx context.Context, addr string) error {
	return probe.Get(ctx, c.c, "http://"+addr+wire.PathHealth)
}
