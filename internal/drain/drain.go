// Package drain stops HTTP servers without aborting a request that they have read.
//
// Shutdown of net/http closes the connections that it tracks as idle. That aborts requests
// that were read a moment ago, and connections that wait to be accepted. This package
// accepts the connections in the backlog first, and lets the reader of an idle connection
// end it: either nothing was read and the connection closes, or the request that was read
// is served.
//
// # Usage
//
//	s := drain.New(&http.Server{Handler: h})
//	go s.Serve(listener)
//	err := s.Stop(ctx)
//
// NewBounded bounds what idle connections take, in the same way.
package drain

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/errs"
)

// Kind classifies the errors of this package.
type Kind string

// KindAborted means that requests were still in progress at the timeout and were aborted.
const KindAborted Kind = "requestsCut"

// Error is the error of this package.
type Error = errs.Error[Kind]

const (
	// backlogIdleTime is the time without a new connection after which the listener is closed.
	backlogIdleTime = 50 * time.Millisecond
	// backlogTimeout limits the wait for backlogIdleTime if new connections keep arriving.
	backlogTimeout = 4 * backlogIdleTime
	// firstRequestTimeout is how long a new connection may take to send its first request
	// once the listener is closed.
	firstRequestTimeout = 500 * time.Millisecond
	pollInterval        = 10 * time.Millisecond
)

// Server is an HTTP server that can be stopped gracefully.
type Server struct {
	h *http.Server

	mu         sync.Mutex
	lis        net.Listener
	lastAccept time.Time
	stopping   bool
	conns      map[*conn]time.Time
	fullUntil  time.Time

	// maxConns returns the number of connections from which on crowded is sent to.
	maxConns func() int
	crowded  chan struct{}
	// stop is closed by Stop.
	stop chan struct{}
}

// New returns a server that serves with h. It sets h.ConnState.
func New(h *http.Server) *Server {
	s := &Server{h: h, conns: map[*conn]time.Time{}, maxConns: func() int { return 0 }, crowded: make(chan struct{}, 1), stop: make(chan struct{})}
	h.ConnState = s.setState
	return s
}

// Serve serves a listener until Stop is called.
func (s *Server) Serve(lis net.Listener) error {
	l := &listener{Listener: lis, s: s}
	s.mu.Lock()
	s.lis = l
	s.mu.Unlock()
	err := s.h.Serve(l)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return nil
	}
	return err
}

// Stop accepts the connections in the backlog, closes the listener, and waits until all
// requests are answered. Requests still in progress when the context ends are aborted.
func (s *Server) Stop(ctx context.Context) error {
	s.begin()
	s.emptyBacklog(ctx)
	s.mu.Lock()
	lis := s.lis
	s.mu.Unlock()
	var err error
	if lis != nil {
		err = lis.Close()
	}
	from := time.Now()
	for {
		left := s.retire(time.Since(from) >= firstRequestTimeout)
		if left == 0 {
			return errors.Join(err, s.h.Close())
		}
		if !sleep(ctx, pollInterval) {
			return errors.Join(errs.Newf("drain.Stop", KindAborted, "%d connections were still in use", left), s.h.Close())
		}
	}
}

func (s *Server) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopping {
		close(s.stop)
	}
	s.stopping = true
	s.lastAccept = time.Now()
}

// emptyBacklog waits until no new connection has arrived for backlogIdleTime, or until
// backlogTimeout.
func (s *Server) emptyBacklog(ctx context.Context) {
	for from := time.Now(); time.Since(from) < backlogTimeout; {
		s.mu.Lock()
		idle := time.Since(s.lastAccept)
		s.mu.Unlock()
		if idle >= backlogIdleTime || !sleep(ctx, backlogIdleTime-idle) {
			return
		}
	}
}

// retire ends the idle connections, and with includeNew those that have not sent a request
// yet, and returns how many connections remain.
func (s *Server) retire(includeNew bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.retire(includeNew)
	}
	return len(s.conns)
}

// setState tracks the state of a connection.
func (s *Server) setState(n net.Conn, st http.ConnState) {
	c, ok := n.(*conn)
	if !ok {
		return
	}
	c.setState(st)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch st {
	case http.StateNew:
		s.conns[c] = time.Now()
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

type listener struct {
	net.Listener
	s     *Server
	close sync.Once
}

// Close closes the listener, which Stop and the HTTP server both do. Only the first call can fail.
func (l *listener) Close() (err error) {
	l.close.Do(func() { err = l.Listener.Close() })
	return err
}

// Accept accepts a connection and records the time.
func (l *listener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	l.s.noteAccept(err)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: n, state: http.StateNew, since: time.Now()}, nil
}

// conn is a connection whose reader decides whether it is idle.
type conn struct {
	net.Conn

	mu    sync.Mutex
	state http.ConnState
	// hasInput is set if bytes were read since the last answer.
	hasInput bool
	// since is when the connection was accepted, its last answer was sent, or the first bytes after that were read.
	since   time.Time
	retired bool
}

// pastDeadline is a deadline in the past, which unblocks a reader.
var pastDeadline = time.Unix(1, 0)

// Read reads from the connection. It returns io.EOF if the connection was retired and
// nothing was read.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		if !c.hasInput {
			c.since = time.Now()
		}
		c.hasInput = true
		c.cancelRetire()
		return n, err
	}
	if c.retired && !c.hasInput && errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, io.EOF
	}
	return n, err
}

// SetReadDeadline sets the deadline unless the connection is retired.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// retire unblocks the reader of an idle connection.
func (c *conn) retire(includeNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.state == http.StateIdle || includeNew && c.state == http.StateNew
	if !idle || c.hasInput || c.retired {
		return
	}
	c.retired = c.Conn.SetReadDeadline(pastDeadline) == nil
}

// cancelRetire returns a retired connection to use; the caller holds the lock.
func (c *conn) cancelRetire() {
	if !c.retired {
		return
	}
	// Without a deadline the reader waits at most as long as Stop.
	c.retired = c.Conn.SetReadDeadline(time.Time{}) != nil
}

func (c *conn) setState(st http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = st
	switch st {
	case http.StateIdle:
		c.hasInput, c.since = false, time.Now()
	case http.StateActive:
		// A request that was read together with the previous one needs no further read.
		c.cancelRetire()
	}
}
