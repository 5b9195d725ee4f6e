package entry

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/eelgrassroad/eelgrassroad/internal/setup"
)

// ControlBytes is what an entry has sent to the replicas and received from them.
type ControlBytes struct {
	Sent     int64 `json:"sent"`
	Received int64 `json:"received"`
}

// byteMeter counts the bytes sent and received on the connections of its dialer.
type byteMeter struct {
	sent, received atomic.Int64
}

func (m *byteMeter) bytes() ControlBytes {
	return ControlBytes{Sent: m.sent.Load(), Received: m.received.Load()}
}

// dialer returns a dialer whose connections are counted.
func (m *byteMeter) dialer(d setup.Dialer) setup.Dialer {
	if d == nil {
		d = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := d(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &meteredConn{Conn: c, m: m}, nil
	}
}

type meteredConn struct {
	net.Conn
	m *byteMeter
}

// Read reads from the connection and counts the bytes received.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.m.received.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes sent.
func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.m.sent.Add(int64(n))
	return n, err
}
