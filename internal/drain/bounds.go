package drain

import (
	"cmp"
	"errors"
	"net/http"
	"slices"
	"syscall"
	"time"
)

// Bounds limit the connections that clients leave open without a whole request. 0 means no bound.
type Bounds struct {
	// Idle is how long a connection stays open between two requests, or before the first one.
	Idle time.Duration
	// Head is how long the head of a request may take.
	Head time.Duration
	// Conns is the number of connections from which on the longest idle ones are closed early. Those with a
	// request in progress stay.
	Conns int
}

const (
	// checkInterval is the interval at which connections are checked, unless many arrive.
	checkInterval = time.Second
	// fullPeriod is how long a server counts as full after it could not accept a connection.
	fullPeriod = 2 * time.Second
	// fullDivisor sets the part of the idle connections that each check closes then.
	fullDivisor = 8
)

// NewBounded returns a server that keeps to bounds, which may change at any time. They replace the idle and the
// read header timeout of h.
func NewBounded(h *http.Server, bounds func() Bounds) *Server {
	s := New(h)
	h.IdleTimeout, h.ReadHeaderTimeout = 0, 0
	s.maxConns = func() int { return bounds().Conns }
	go func() {
		t := time.NewTicker(checkInterval)
		defer t.Stop()
		for {
			select {
			case <-s.stop:
				return
			case <-s.crowded:
			case <-t.C:
			}
			s.check(bounds(), time.Now())
		}
	}()
	return s
}

// check ends the connections that are beyond the bounds.
func (s *Server) check(b Bounds, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	type idleConn struct {
		c     *conn
		since time.Time
	}
	var idle []idleConn
	for c := range s.conns {
		since, ok := c.waiting(b.Head, now)
		if !ok {
			continue
		}
		if b.Idle > 0 && now.Sub(since) > b.Idle {
			c.retire(true)
			continue
		}
		idle = append(idle, idleConn{c, since})
	}
	excess := 0
	if b.Conns > 0 {
		excess = len(s.conns) - b.Conns
	}
	if now.Before(s.fullUntil) {
		// Others may have taken the descriptors.
		excess = max(excess, (len(idle)+fullDivisor-1)/fullDivisor)
	}
	excess = min(excess, len(idle))
	if excess <= 0 {
		return
	}
	slices.SortFunc(idle, func(x, y idleConn) int { return cmp.Compare(x.since.UnixNano(), y.since.UnixNano()) })
	for _, x := range idle[:excess] {
		x.c.retire(true)
	}
}

// noteAccept records the result of an accept.
func (s *Server) noteAccept(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if err != nil {
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			s.fullUntil = now.Add(fullPeriod)
			s.wakeCheck()
		}
		return
	}
	s.lastAccept = now
	if n := s.maxConns(); n > 0 && len(s.conns) > n {
		s.wakeCheck()
	}
}

func (s *Server) wakeCheck() {
	select {
	case s.crowded <- struct{}{}:
	default:
	}
}

// IsFull reports whether the process lately had no descriptor left for a new connection.
func (s *Server) IsFull() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.fullUntil)
}

// waiting reports whether the connection waits for a request, and since when. It ends a connection whose head of a request
// has taken too long.
func (c *conn) waiting(head time.Duration, now time.Time) (since time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != http.StateIdle && c.state != http.StateNew || c.retired {
		return time.Time{}, false
	}
	if !c.hasInput {
		return c.since, true
	}
	if head > 0 && now.Sub(c.since) > head {
		c.retired = c.Conn.SetReadDeadline(pastDeadline) == nil
	}
	return time.Time{}, false
}
