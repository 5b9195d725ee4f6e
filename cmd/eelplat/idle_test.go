package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// Clients leave connections open and idle. The idle timeout of the routing was stored and not kept, so that they used up
// the descriptors. It holds from the routing on that sets it, and a connection that is reused within four fifths of it
// stays open.
func TestIdleTimeoutOfRouting(t *testing.T) {
	const idle = 3 * time.Second
	var limits atomic.Pointer[model.RequestLimits]
	limits.Store(&model.RequestLimits{})
	d := &daemon{l: log.NewNopLogger(), failed: make(chan error, 1)}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := lis.Addr().String()
	assert.NilError(t, lis.Close())
	_, err = d.serveClients("clients", addr, http.NotFoundHandler(), 0, func() model.RequestLimits { return *limits.Load() })
	assert.NilError(t, err)
	defer d.shutdown(t.Context())
	send := func(c net.Conn) error {
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			return err
		}
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil {
			_, err = io.Copy(io.Discard, r.Body)
			r.Body.Close()
		}
		return err
	}
	var conns [2]net.Conn
	for i := range conns {
		conns[i], err = net.Dial("tcp", addr)
		assert.NilError(t, err)
		defer conns[i].Close()
		assert.NilError(t, send(conns[i]))
	}
	time.Sleep(idle * 4 / 5)
	assert.NilError(t, send(conns[0]), "without a limit")
	limits.Store(&model.RequestLimits{HeaderTimeoutMillis: 1000, IdleTimeoutMillis: model.Millis(idle.Milliseconds())})
	for range 2 {
		time.Sleep(idle * 4 / 5)
		assert.NilError(t, send(conns[0]), "within the limit")
	}
	assert.Assert(t, send(conns[1]) != nil, "idle for longer than the limit")
}
