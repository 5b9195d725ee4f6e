package drain

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowListener is a listener that delays accepts, and the reads of its connections, as in
// a process that gets little CPU time.
type slowListener struct {
	net.Listener
	accept, read time.Duration
}

// Accept accepts a connection and returns it after a delay.
func (s slowListener) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	time.Sleep(s.accept)
	return &slowConn{Conn: c, read: s.read}, err
}

type slowConn struct {
	net.Conn
	read time.Duration
}

// Read reads and returns after a delay.
func (s *slowConn) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	if n > 0 {
		time.Sleep(s.read)
	}
	return n, err
}

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// send writes a request and reads the answer.
func send(c net.Conn) error {
	if _, err := io.WriteString(c, request); err != nil {
		return err
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	_, err = io.Copy(io.Discard, r.Body)
	return err
}

// A planned stop aborts no request that has been read, and no connection established
// before it, even if the process gets little CPU time.
func TestStopAbortsNoRequest(t *testing.T) {
	tests := []struct {
		name         string
		accept, read time.Duration
		// first is the number of requests on each connection before the last one, which is
		// sent just before the stop.
		first int
	}{
		{"connections in the backlog", 5 * time.Millisecond, 0, 0},
		{"request just read on a new connection", 0, 30 * time.Millisecond, 0},
		{"request just read on a reused connection", 0, 30 * time.Millisecond, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			s := New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(5 * time.Millisecond)
				fmt.Fprint(w, "done")
			})})
			served := make(chan error, 1)
			go func() { served <- s.Serve(slowListener{lis, tt.accept, tt.read}) }()
			const callers = 20
			var conns []net.Conn
			for range callers {
				c, err := net.Dial("tcp", lis.Addr().String())
				assert.NilError(t, err)
				defer c.Close()
				conns = append(conns, c)
			}
			for range tt.first {
				for _, c := range conns {
					assert.NilError(t, send(c))
				}
			}
			var g sync.WaitGroup
			var aborted atomic.Int64
			for _, c := range conns {
				g.Go(func() {
					if err := send(c); err != nil {
						aborted.Add(1)
					}
				})
			}
			time.Sleep(10 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			assert.NilError(t, s.Stop(ctx))
			g.Wait()
			assert.Equal(t, aborted.Load(), int64(0), "requests were aborted")
			assert.NilError(t, <-served)
		})
	}
}

// Idle connections, and new ones without a request, do not delay a stop.
func TestIdleConnectionsDoNotDelayStop(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := New(&http.Server{Handler: http.NotFoundHandler(), IdleTimeout: time.Minute})
	go func() { assert.Check(t, s.Serve(lis)) }()
	idle, err := net.Dial("tcp", lis.Addr().String())
	assert.NilError(t, err)
	defer idle.Close()
	assert.NilError(t, send(idle))
	unused, err := net.Dial("tcp", lis.Addr().String())
	assert.NilError(t, err)
	defer unused.Close()
	from := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	assert.NilError(t, s.Stop(ctx))
	assert.Assert(t, time.Since(from) < 2*firstRequestTimeout, "took %s", time.Since(from))
	_, err = idle.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
}

// Load pattern: callers connect continuously. A stop completes nevertheless, and callers
// whose connection was accepted get an answer.
func TestStopUnderConnections(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		fmt.Fprint(w, "done")
	})})
	go func() { assert.Check(t, s.Serve(lis)) }()
	done := make(chan struct{})
	var g sync.WaitGroup
	g.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
			c, err := net.Dial("tcp", lis.Addr().String())
			if err != nil {
				continue // The listener is closed.
			}
			g.Go(func() {
				defer c.Close()
				// The connection may not have been accepted; the test fails only if the stop hangs.
				_ = send(c)
			})
		}
	})
	time.Sleep(100 * time.Millisecond)
	from := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	assert.NilError(t, s.Stop(ctx))
	assert.Assert(t, time.Since(from) < 2*firstRequestTimeout, "took %s", time.Since(from))
	close(done)
	g.Wait()
}

// A pipelined request that was read together with the previous one is answered.
func TestPipelinedRequest(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	entered := make(chan struct{}, 2)
	s := New(&http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		time.Sleep(50 * time.Millisecond)
		assert.Check(t, r.Context().Err())
	})})
	go func() { assert.Check(t, s.Serve(lis)) }()
	c, err := net.Dial("tcp", lis.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, strings.Repeat(request, 2))
	assert.NilError(t, err)
	<-entered
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	assert.NilError(t, s.Stop(ctx))
	b := bufio.NewReader(c)
	for range 2 {
		r, err := http.ReadResponse(b, nil)
		assert.NilError(t, err)
		assert.NilError(t, r.Body.Close())
	}
}

// Requests still in progress when the context ends are aborted, and Stop returns an error.
func TestStopTimeout(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := New(&http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })})
	go func() { assert.Check(t, s.Serve(lis)) }()
	c, err := net.Dial("tcp", lis.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, request)
	assert.NilError(t, err)
	time.Sleep(20 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	assert.ErrorContains(t, s.Stop(ctx), "1 connections were still in use")
}

// The listener is closed while the accept loop has not returned yet, as in a process that gets
// little CPU time. Stop must not fail for closing it a second time.
func TestStopBeforeServeReturns(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := New(&http.Server{Handler: http.NotFoundHandler()})
	done := make(chan error)
	go func() { done <- s.Serve(slowListener{Listener: l, accept: 200 * time.Millisecond}) }()
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, s.Stop(context.Background()))
	assert.NilError(t, <-done)
}
