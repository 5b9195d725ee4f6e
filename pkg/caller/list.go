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

// listTimeout bounds how long one entry is asked for the list.
const listTimeout = 600 * time.Millisecond

// list is the cached list of entries.
type list struct {
	mu      sync.Mutex
	entries []wire.Entry
	// renewAt is when a new list is asked for, and until when this one may be used.
	renewAt time.Time
	until   time.Time
	// pending is closed when the question that is under way has ended with err.
	pending chan struct{}
	err     error
}

// Entries returns the cached list of entries. A list that is about to expire is
// asked for again beside the requests that use it.
func (c *Client) Entries(ctx context.Context) ([]wire.Entry, error) {
	l := &c.list
	l.mu.Lock()
	now := time.Now()
	if now.After(l.renewAt) && l.pending == nil {
		l.pending = make(chan struct{})
		go c.refresh(slices.Clone(l.entries), l.pending)
	}
	entries, until, pending := l.entries, l.until, l.pending
	l.mu.Unlock()
	if now.Before(until) {
		return entries, nil
	}
	select {
	case <-pending:
	case <-ctx.Done():
		return nil, errs.New("caller.Entries", KindNoEntry, ctx.Err())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil && time.Now().After(l.until) {
		return nil, errs.New("caller.Entries", KindNoEntry, l.err)
	}
	return l.entries, nil
}

// refresh asks one entry after the other for a new list: those of the old list
// first, and those that did not answer before last.
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
	slices.SortStableFunc(addrs, func(a, b string) int { return rank(c.health.isBad(a)) - rank(c.health.isBad(b)) })
	err := errors.New("no entry is named in the settings")
	for _, a := range addrs {
		if err = c.ask(a); err == nil {
			break
		}
		c.health.failed(a)
	}
	c.list.mu.Lock()
	defer c.list.mu.Unlock()
	c.list.err, c.list.pending = err, nil
	close(done)
}

func rank(bad bool) int {
	if bad {
		return 1
	}
	return 0
}

// ask takes a new list from one entry.
func (c *Client) ask(addr string) error {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	u := "http://" + addr + wire.PathEntries + "?region=" + string(c.o.Region)
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return err
	}
	asked := time.Now()
	res, err := c.c.Do(q)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("entry %s answered with status %d", addr, res.StatusCode)
	}
	var l wire.Entries
	if err := json.NewDecoder(res.Body).Decode(&l); err != nil {
		return err
	}
	if len(l.Entries) == 0 {
		return fmt.Errorf("entry %s named no entries", addr)
	}
	c.health.answered(addr)
	life := l.TTLMillis.Duration()
	c.list.mu.Lock()
	defer c.list.mu.Unlock()
	c.list.entries, c.list.renewAt, c.list.until = l.Entries, asked.Add(life/2), asked.Add(life)
	return nil
}
