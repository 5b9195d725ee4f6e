// Package drain stops HTTP servers without cutting a request that they have read.
//
// The standard library's Shutdown closes the connections that are idle by its own
// account. A request that was read a moment ago, and connections that wait to be
// accepted, are closed with them. Here the connections in the backlog are accepted
// first, and an idle connection is ended by its reader: either it has read nothing
// and closes, or the request that it has read is served.
//
// # Usage
//
//	s := drain.New(&http.Server{Handler: h})
//	go s.Serve(listener)
//	err := s.Stop(ctx)
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

// Kind tells the errors of the package apart.
type Kind string

// KindAborted means that requests were still in progress when the time was up.
const KindAborted Kind = "requestsCut"

// Error is the error of this package.
type Error = errs.Error[Kind]

const (
	// backlogQuiet is how long nobody must have connected before the listener is closed.
	backlogQuiet = 50 * time.Millisecond
	// backlogMost bounds that where connections never cease to come.
	backlogMost = 4 * backlogQuiet
	// firstWait is how long a new connection may take to bring its first request.
	firstWait = 500 * time.Millisecond
	pollEvery = 10 * time.Millisecond
)

// Server is an HTTP server that can be stopped.
type Server struct {
	h *http.Server

	mu       sync.Mutex
	lis      net.Listener
	accepted time.Time
	stopping bool
	conns    map[*conn]time.Time
}

// New returns a server. It sets the server's ConnState.
func New(h *http.Server) *Server {
	s := &Server{h: h, conns: map[*conn]time.Time{}}
	h.ConnState = s.note
	return s
}

// Serve serves a listener until Stop is called.
func (s *Server) Serve(lis net.Listener) error {
	s.mu.Lock()
	s.lis = lis
	s.mu.Unlock()
	err := s.h.Serve(listener{lis, s})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return nil
	}
	return err
}

// Stop accepts who has connected already, closes the listener, and waits until
// all requests are answered. When the context ends the rest is cut.
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
		left := s.retire(time.Since(from) >= firstWait)
		if left == 0 {
			return errors.Join(err, s.h.Close())
		}
		if !sleep(ctx, pollEvery) {
			return errors.Join(errs.Newf("drain.Stop", KindAborted, "%d connections were still in use", left), s.h.Close())
		}
	}
}

func (s *Server) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	s.accepted = time.Now()
}

// emptyBacklog waits until nobody connects any more, but not for ever.
func (s *Server) emptyBacklog(ctx context.Context) {
	for from := time.Now(); time.Since(from) < backlogMost; {
		s.mu.Lock()
		quiet := time.Since(s.accepted)
		s.mu.Unlock()
		if quiet >= backlogQuiet || !sleep(ctx, backlogQuiet-quiet) {
			return
		}
	}
}

// retire ends the idle connections, the new ones too where they have had their
// time, and returns how many are left.
func (s *Server) retire(newToo bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.retire(newToo)
	}
	return len(s.conns)
}

// note follows the states of connections.
func (s *Server) note(n net.Conn, st http.ConnState) {
	c, ok := n.(*conn)
	if !ok {
		return
	}
	c.note(st)
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
	s *Server
}

// Accept accepts one connection.
func (l listener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.s.mu.Lock()
	l.s.accepted = time.Now()
	l.s.mu.Unlock()
	return &conn{Conn: n, state: http.StateNew}, nil
}

// conn is a connection whose reader decides whether it is idle.
type conn struct {
	net.Conn

	mu    sync.Mutex
	state http.ConnState
	// busy says that bytes were read since the last answer.
	busy    bool
	retired bool
}

// past is a deadline that wakes a reader.
var past = time.Unix(1, 0)

// Read reads, and ends a retired connection on which nothing has come.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.busy = true
		c.restore()
		return n, err
	}
	if c.retired && errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, io.EOF
	}
	return n, err
}

// SetReadDeadline sets the deadline, but for a retired connection.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// retire wakes the reader of an idle connection.
func (c *conn) retire(newToo bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.state == http.StateIdle || newToo && c.state == http.StateNew
	if !idle || c.busy || c.retired {
		return
	}
	c.retired = c.Conn.SetReadDeadline(past) == nil
}

// restore takes a connection back into use; the caller holds the lock.
func (c *conn) restore() {
	if !c.retired {
		return
	}
	// Without a deadline the reader waits no longer than Stop does.
	c.retired = c.Conn.SetReadDeadline(time.Time{}) != nil
}

func (c *conn) note(st http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = st
	switch st {
	case http.StateIdle:
		c.busy = false
	case http.StateActive:
		// A request that was read together with the one before needs no further read.
		c.restore()
	}
}
