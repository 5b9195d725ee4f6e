package drain

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// isOpen reports whether the server has kept a connection.
func isOpen(t *testing.T, c net.Conn) bool {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err := c.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// bounded returns a server, and a function that opens a connection and sends what is given.
func bounded(t *testing.T, h http.HandlerFunc) (*Server, func(sent string) net.Conn) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := NewBounded(&http.Server{Handler: h, IdleTimeout: time.Millisecond, ReadHeaderTimeout: time.Millisecond}, func() Bounds { return Bounds{} })
	go func() { assert.Check(t, s.Serve(lis)) }()
	t.Cleanup(func() {
		s.begin()
		assert.Check(t, s.h.Close())
	})
	return s, func(sent string) net.Conn {
		c, err := net.Dial("tcp", lis.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { c.Close() })
		_, err = io.WriteString(c, sent)
		assert.NilError(t, err)
		return c
	}
}

// Connections that clients leave open use up the descriptors of a process, so that it takes no new ones. They are closed after
// the bounds in force; none with a request in progress is.
func TestBounds(t *testing.T) {
	const idle, head = 15 * time.Second, 3 * time.Second
	tests := []struct {
		name   string
		bounds Bounds
		// later is the time of the check after the last use of the connections.
		later time.Duration
		// open are the states that connections keep open: served once, unused, with a part of a head, in progress.
		served, unused, part, active bool
	}{
		{"no bounds", Bounds{}, time.Hour, true, true, true, true},
		{"within the bounds", Bounds{Idle: idle, Head: head, Conns: 4}, head - time.Second, true, true, true, true},
		{"a slow head", Bounds{Idle: idle, Head: head}, head + time.Second, true, true, false, true},
		{"four fifths of the idle time", Bounds{Idle: idle}, idle * 4 / 5, true, true, true, true},
		{"idle", Bounds{Idle: idle}, idle + time.Second, false, false, true, true},
		{"both", Bounds{Idle: idle, Head: head}, idle + time.Second, false, false, false, true},
		{"one too many", Bounds{Idle: idle, Head: head, Conns: 3}, time.Second, false, true, true, true},
		{"all that are idle too many", Bounds{Conns: 1}, time.Second, false, false, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			entered, release := make(chan struct{}, 1), make(chan struct{})
			s, open := bounded(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/slow" {
					entered <- struct{}{}
					<-release
				}
				fmt.Fprint(w, "done")
			})
			served := open("")
			assert.NilError(t, send(served))
			time.Sleep(5 * time.Millisecond)
			unused, part := open(""), open(request[:8])
			active := open("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
			<-entered
			time.Sleep(20 * time.Millisecond)
			s.check(tt.bounds, time.Now().Add(tt.later))
			assert.Equal(t, isOpen(t, served), tt.served, "served")
			assert.Equal(t, isOpen(t, unused), tt.unused, "unused")
			assert.Equal(t, isOpen(t, part), tt.part, "part of a head")
			assert.Equal(t, isOpen(t, active), tt.active, "active")
			close(release)
			assert.NilError(t, active.SetReadDeadline(time.Now().Add(5*time.Second)))
			b := make([]byte, 15)
			_, err := io.ReadFull(active, b)
			assert.NilError(t, err)
			assert.Equal(t, string(b), "HTTP/1.1 200 OK")
			if tt.served {
				assert.NilError(t, served.SetReadDeadline(time.Now().Add(5*time.Second)))
				assert.NilError(t, send(served))
			}
		})
	}
}

// Bounds that change hold for open connections too, after checkInterval.
func TestChangedBounds(t *testing.T) {
	var idle atomic.Int64
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := NewBounded(&http.Server{Handler: http.NotFoundHandler()}, func() Bounds { return Bounds{Idle: time.Duration(idle.Load())} })
	go func() { assert.Check(t, s.Serve(lis)) }()
	c, err := net.Dial("tcp", lis.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, send(c))
	time.Sleep(checkInterval + checkInterval/2)
	assert.Assert(t, isOpen(t, c))
	idle.Store(int64(time.Millisecond))
	time.Sleep(checkInterval + checkInterval/2)
	assert.Assert(t, !isOpen(t, c))
	assert.NilError(t, s.Stop(t.Context()))
}

// fullListener has no descriptor for some connections.
type fullListener struct {
	net.Listener
	failures atomic.Int64
}

// Accept fails as long as failures are left.
func (f *fullListener) Accept() (net.Conn, error) {
	if f.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return f.Listener.Accept()
}

// A server that cannot accept connections for lack of descriptors says so, closes idle ones, and accepts again.
func TestFull(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := NewBounded(&http.Server{Handler: http.NotFoundHandler()}, func() Bounds { return Bounds{} })
	assert.Assert(t, !s.IsFull())
	l := &fullListener{Listener: lis}
	go func() { assert.Check(t, s.Serve(l)) }()
	idle, err := net.Dial("tcp", lis.Addr().String())
	assert.NilError(t, err)
	defer idle.Close()
	assert.NilError(t, send(idle))
	l.failures.Store(3)
	last, err := net.Dial("tcp", lis.Addr().String()) // Its accept had begun.
	assert.NilError(t, err)
	defer last.Close()
	for end := time.Now().Add(time.Second); !s.IsFull() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, s.IsFull())
	c, err := net.Dial("tcp", lis.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, send(c))
	assert.Assert(t, !isOpen(t, idle))
	time.Sleep(fullPeriod)
	assert.Assert(t, !s.IsFull())
	assert.NilError(t, s.Stop(t.Context()))
}
