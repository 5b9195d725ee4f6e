package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
)

// listTimeout limits the request of the list from one entry.
const listTimeout = 600 * time.Millisecond

// list is the cached list of entries.
type list struct {
	mu      sync.Mutex
	entries []wire.Entry
	// renewAt is the time from which a new list is requested; validUntil is when this one
	// expires.
	renewAt    time.Time
	validUntil time.Time
	// pending is closed when the refresh in progress has ended with err; nil without one.
	pending chan struct{}
	err     error
}

// Entries returns the cached list of entries. A list that is about to expire is renewed
// in the background.
func (c *Client) Entries(ctx context.Context) ([]wire.Entry, error) {
	l := &c.list
	l.mu.Lock()
	now := time.Now()
	if now.After(l.renewAt) && l.pending == nil {
		l.pending = make(chan struct{})
		go c.refresh(slices.Clone(l.entries), l.pending)
	}
	entries, validUntil, pending := l.entries, l.validUntil, l.pending
	l.mu.Unlock()
	if now.Before(validUntil) {
		return entries, nil
	}
	select {
	case <-pending:
	case <-ctx.Done():
		return nil, errs.New("caller.Entries", KindNoEntry, ctx.Err())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil && time.Now().After(l.validUntil) {
		return nil, errs.New("caller.Entries", KindNoEntry, l.err)
	}
	return l.entries, nil
}

// refresh requests a new list from one entry after the other: those of the old list
// first, and ejected entries last.
func (c *Client) refresh(old []wire.Entry, done chan struct{}) {
	addrs := make([]string, 0, len(old)+len(c.o.Entries))
	for _, e := range old {
		addrs = append(addrs, e.Addr)
	}
	for _, a := range c.o.Entries {
		if !slices.Contains(addrs, a) {
			addrs = append(addrs, a)
		}
	}
	slices.SortStableFunc(addrs, func(a, b string) int { return order(c.health.isEjected(a)) - order(c.health.isEjected(b)) })
	err := errors.New("settings contain no entries")
	for _, a := range addrs {
		if err = c.fetchList(a); err == nil {
			break
		}
		c.health.failed(a)
	}
	c.list.mu.Lock()
	defer c.list.mu.Unlock()
	c.list.err, c.list.pending = err, nil
	close(done)
}

func order(ejected bool) int {
	if ejected {
		return 1
	}
	return 0
}

// fetchList requests a new list from one entry and caches it.
func (c *Client) fetchList(addr string) error {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	u := "http://" + addr + wire.PathEntries + "?region=" + string(c.o.Region)
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return err
	}
	requestedAt := time.Now()
	res, err := c.c.Do(q)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("entry %s answered the request of the list with status %d", addr, res.StatusCode)
	}
	var l wire.Entries
	if err := json.NewDecoder(res.Body).Decode(&l); err != nil {
		return err
	}
	if len(l.Entries) == 0 {
		return fmt.Errorf("entry %s returned an empty list", addr)
	}
	c.health.recordResponse(addr)
	ttl := l.TTLMillis.Duration()
	c.list.mu.Lock()
	defer c.list.mu.Unlock()
	c.list.entries, c.list.renewAt, c.list.validUntil = l.Entries, requestedAt.Add(ttl/2), requestedAt.Add(ttl)
	return nil
}
