package entry

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"

	"github.com/eelgrassroad/eelgrassroad/internal/reply"
	"github.com/eelgrassroad/eelgrassroad/internal/setup"
)

// sendGuard checks a request directly before its first byte is written, when the connection is
// established: the target may have left, or the lease may have ended, meanwhile.
type sendGuard struct {
	check func() error

	mu sync.Mutex
	// sent is set when a check has passed, so that bytes may have been sent.
	sent bool
	// reused is set if the last connection had carried other requests before.
	reused bool
	// err is the result of the last check.
	err error
}

// attach returns a context whose HTTP request is checked by the guard, if the client's connections
// come from guardedDialer. The HTTP client may resend a request on another connection; each send is
// checked.
func (g *sendGuard) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			g.mu.Lock()
			g.reused = i.Reused
			g.mu.Unlock()
			if c, ok := i.Conn.(*guardedConn); ok {
				c.guard.Store(g)
			}
		},
		Got1xxResponse: func(status int, h textproto.MIMEHeader) error { return reply.CheckInterim(status, http.Header(h)) },
	})
}

// rejected returns why the request was not sent, or nil if it may have been. It is valid once the
// HTTP client has returned.
func (g *sendGuard) rejected() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sent {
		return nil
	}
	return g.err
}

// isReused reports whether the connection of the request had carried other requests before. It is
// valid once the HTTP client has returned.
func (g *sendGuard) isReused() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reused
}

// admit checks the request before a send.
func (g *sendGuard) admit() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.err = g.check()
	g.sent = g.sent || g.err == nil
	return g.err
}

// guardedConn is a connection that asks the guard of a request before it writes the request.
type guardedConn struct {
	net.Conn
	guard atomic.Pointer[sendGuard]
}

// Write writes to the connection unless the guard rejects the request.
func (c *guardedConn) Write(b []byte) (int, error) {
	if g := c.guard.Swap(nil); g != nil {
		if err := g.admit(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

// guardedDialer returns a dialer whose connections support guards; a nil dialer stands for the net
// package's.
func guardedDialer(d setup.Dialer) setup.Dialer {
	if d == nil {
		d = new(net.Dialer).DialContext
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := d(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: c}, nil
	}
}
