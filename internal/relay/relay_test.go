package relay

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	caller = "127.19.1.1"
	server = "127.19.1.2"
	// short is long enough for a byte to pass a relay on one machine.
	short = 300 * time.Millisecond
)

// echoed returns a network with an echo server behind a front, and its address.
func echoed(t *testing.T) (*Network, string) {
	t.Helper()
	l, err := net.Listen("tcp", server+":0")
	assert.NilError(t, err)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				// The peer ends it.
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	f, err := net.Listen("tcp", server+":0")
	assert.NilError(t, err)
	front := f.Addr().String()
	assert.NilError(t, f.Close())
	n := New()
	assert.NilError(t, n.Proxy(front, l.Addr().String()))
	t.Cleanup(func() {
		assert.NilError(t, n.Close())
		l.Close()
	})
	return n, front
}

func connect(t *testing.T, front string) net.Conn {
	t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(caller)}}
	c, err := d.Dial("tcp", front)
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

// echo tells whether a byte comes back.
func echo(t *testing.T, c net.Conn) error {
	t.Helper()
	if _, err := c.Write([]byte{1}); err != nil {
		return err
	}
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(short)))
	_, err := c.Read(make([]byte, 1))
	return err
}

func TestHarm(t *testing.T) {
	tests := []struct {
		name string
		harm func(*Network)
		// old is what a connection of before meets, and fresh what a new one does.
		old, fresh error
	}{
		{"none", func(*Network) {}, nil, nil},
		{"cut", func(n *Network) { n.Cut(caller, server) }, os.ErrDeadlineExceeded, os.ErrDeadlineExceeded},
		{"cut there", func(n *Network) { n.CutOneWay(caller, server) }, os.ErrDeadlineExceeded, os.ErrDeadlineExceeded},
		{"cut back", func(n *Network) { n.CutOneWay(server, caller) }, os.ErrDeadlineExceeded, os.ErrDeadlineExceeded},
		{"cut and healed", func(n *Network) { n.Cut(caller, server); n.HealAll() }, nil, nil},
		{"silenced", func(n *Network) { n.Silence(server) }, os.ErrDeadlineExceeded, nil},
		{"silenced elsewhere", func(n *Network) { n.Silence("127.19.1.9") }, nil, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n, front := echoed(t)
			old := connect(t, front)
			assert.NilError(t, echo(t, old))
			tt.harm(n)
			assert.Assert(t, errors.Is(echo(t, old), tt.old))
			assert.Assert(t, errors.Is(echo(t, connect(t, front)), tt.fresh))
		})
	}
}

// A reset breaks off what there is, and new connections work.
func TestReset(t *testing.T) {
	n, front := echoed(t)
	old := connect(t, front)
	assert.NilError(t, echo(t, old))
	n.Reset(server)
	err := echo(t, old)
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	assert.NilError(t, echo(t, connect(t, front)))
}
