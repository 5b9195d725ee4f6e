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
	// replyTimeout is enough for a byte to pass through a relay on one machine.
	replyTimeout = 300 * time.Millisecond
)

// newEchoNetwork returns a network with an echo server behind it, and the relayed address.
func newEchoNetwork(t *testing.T) (*Network, string) {
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
				// The peer closes the connection.
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	f, err := net.Listen("tcp", server+":0")
	assert.NilError(t, err)
	proxyAddr := f.Addr().String()
	assert.NilError(t, f.Close())
	n := New()
	assert.NilError(t, n.Proxy(proxyAddr, l.Addr().String()))
	t.Cleanup(func() {
		assert.NilError(t, n.Close())
		l.Close()
	})
	return n, proxyAddr
}

func connect(t *testing.T, proxyAddr string) net.Conn {
	t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(caller)}}
	c, err := d.Dial("tcp", proxyAddr)
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

// echo sends a byte and returns an error if it does not come back within replyTimeout.
func echo(t *testing.T, c net.Conn) error {
	t.Helper()
	if _, err := c.Write([]byte{1}); err != nil {
		return err
	}
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(replyTimeout)))
	_, err := c.Read(make([]byte, 1))
	return err
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name   string
		inject func(*Network)
		// existing and created are the results on a connection from before the fault and on a new one.
		existing, created error
	}{
		{"none", func(*Network) {}, nil, nil},
		{"cut", func(n *Network) { n.Cut(caller, server) }, os.ErrDeadlineExceeded, os.ErrDeadlineExceeded},
		{"cut to server", func(n *Network) { n.CutOneWay(caller, server) }, os.ErrDeadlineExceeded, os.ErrDeadlineExceeded},
		{"cut from server", func(n *Network) { n.CutOneWay(server, caller) }, os.ErrDeadlineExceeded, os.ErrDeadlineExceeded},
		{"cut and healed", func(n *Network) { n.Cut(caller, server); n.HealAll() }, nil, nil},
		{"silenced", func(n *Network) { n.Silence(server) }, os.ErrDeadlineExceeded, nil},
		{"other host silenced", func(n *Network) { n.Silence("127.19.1.9") }, nil, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n, proxyAddr := newEchoNetwork(t)
			existing := connect(t, proxyAddr)
			assert.NilError(t, echo(t, existing))
			tt.inject(n)
			assert.Assert(t, errors.Is(echo(t, existing), tt.existing))
			assert.Assert(t, errors.Is(echo(t, connect(t, proxyAddr)), tt.created))
		})
	}
}

// TestReset checks that a reset breaks existing connections and that new ones work.
func TestReset(t *testing.T) {
	n, proxyAddr := newEchoNetwork(t)
	existing := connect(t, proxyAddr)
	assert.NilError(t, echo(t, existing))
	n.Reset(server)
	err := echo(t, existing)
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	assert.NilError(t, echo(t, connect(t, proxyAddr)))
}
