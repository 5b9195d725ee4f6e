package proxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// cutMode is how the links of a VM to all targets behave.
type cutMode int

const (
	linksUp cutMode = iota
	// linksHang: nothing arrives any more, in either direction.
	linksHang
	// linksReset: connections are reset, and new ones too.
	linksReset
	// linksHangRefuse: open connections hang, and new ones are refused.
	linksHangRefuse
	// linksRefuse: open connections live on, and new ones are refused.
	linksRefuse
	// linksAcceptReset: connections are reset, and new ones are accepted and reset a moment later.
	linksAcceptReset
)

func (m cutMode) String() string {
	return [...]string{"up", "hang", "reset", "hang, new ones refused", "live on, new ones refused", "reset, new ones accepted and reset"}[m]
}

// switchedDialer connects to targets through links that can be cut.
type switchedDialer struct {
	mu    sync.Mutex
	mode  cutMode
	conns map[*switchedConn]bool
}

func newSwitchedDialer() *switchedDialer {
	return &switchedDialer{conns: map[*switchedConn]bool{}}
}

func (d *switchedDialer) current() cutMode {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mode
}

func (d *switchedDialer) set(m cutMode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mode = m
	for c := range d.conns {
		switch m {
		case linksReset, linksAcceptReset:
			c.fail()
		case linksHang, linksHangRefuse:
			c.hang()
		case linksUp, linksRefuse:
		}
	}
}

func (d *switchedDialer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	const timeout = 250 * time.Millisecond
	switch d.current() {
	case linksHang:
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
	case linksReset, linksHangRefuse, linksRefuse:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	case linksUp, linksAcceptReset:
	}
	c, err := (&net.Dialer{Timeout: timeout}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	x := &switchedConn{Conn: c, d: d, hung: make(chan struct{}), closed: make(chan struct{})}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns[x] = true
	if d.mode == linksAcceptReset {
		time.AfterFunc(resetTimeout/10, x.fail)
	}
	return x, nil
}

// switchedConn is a connection that can be made to hang.
type switchedConn struct {
	net.Conn
	d        *switchedDialer
	once     sync.Once
	hangOnce sync.Once
	hung     chan struct{}
	closed   chan struct{}
}

func (c *switchedConn) hang() { c.hangOnce.Do(func() { close(c.hung) }) }

// fail makes the connection end with a reset.
func (c *switchedConn) fail() { c.Conn.Close() }

// Read reads until the connection hangs; then it blocks until the connection is closed.
func (c *switchedConn) Read(b []byte) (int, error) {
	type result struct {
		n   int
		err error
	}
	done := make(chan result, 1)
	p := make([]byte, len(b))
	go func() {
		n, err := c.Conn.Read(p)
		done <- result{n, err}
	}()
	select {
	case r := <-done:
		select {
		case <-c.hung:
		default:
			if r.err != nil && !errors.Is(r.err, os.ErrDeadlineExceeded) {
				select {
				case <-c.closed:
				default:
					r.err = &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
				}
			}
			copy(b, p[:r.n])
			return r.n, r.err
		}
	case <-c.hung:
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write drops what is written while the connection hangs.
func (c *switchedConn) Write(b []byte) (int, error) {
	select {
	case <-c.hung:
		return len(b), nil
	default:
	}
	n, err := c.Conn.Write(b)
	if errors.Is(err, net.ErrClosed) {
		err = &net.OpError{Op: "write", Net: "tcp", Err: syscall.ECONNRESET}
	}
	return n, err
}

// Close closes the connection.
func (c *switchedConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.d.mu.Lock()
		delete(c.d.conns, c)
		c.d.mu.Unlock()
	})
	return c.Conn.Close()
}

// tries counts the responses of the VMs to the first tries of callers.
type tries struct {
	mu           sync.Mutex
	served, sent [2]int
	failures     map[string]int
}

func (c *tries) add(kind int, served bool, why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[kind]++
	if served {
		c.served[kind]++
		return
	}
	c.failures[why]++
}

// Some VMs lose their links to all targets, and callers and the other VMs still reach them. Every
// target is out of use there, so that all callers of these VMs are refused while the others have room
// (RECOVER). From some time after the cut began, they must be served two thirds as often as those of
// the other VMs, and also after the cut.
func TestVMCutOffFromTargets(t *testing.T) {
	const (
		// contact is the time in which a VM must have found out, and length is how long the cut lasts.
		contact = 3 * time.Second
		length  = 6 * time.Second
	)
	tests := []struct {
		mode cutMode
		cut  []int
	}{
		{linksHang, []int{0}},
		{linksHang, []int{0, 1, 2}},
		{linksReset, []int{0, 2}},
		{linksHangRefuse, []int{0, 1}},
		{linksRefuse, []int{0, 1}},
		{linksAcceptReset, []int{0, 1}},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%v at %d VMs", tt.mode, len(tt.cut)), func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 4, 8)
			cut := map[int]bool{}
			for _, i := range tt.cut {
				cut[i] = true
			}
			var g sync.WaitGroup
			stop := make(chan struct{})
			during, after := &tries{failures: map[string]int{}}, &tries{failures: map[string]int{}}
			start := time.Now()
			phase := func(at time.Time) *tries {
				switch {
				case at.After(start.Add(contact)) && at.Before(start.Add(length-time.Second)):
					return during
				case at.After(start.Add(length + contact)):
					return after
				}
				return nil
			}
			for n := range 12 {
				g.Go(func() {
					for i := 0; ; i++ {
						select {
						case <-stop:
							return
						case <-time.After(25 * time.Millisecond):
						}
						vm, at := n%4, time.Now()
						method, path := http.MethodGet, fmt.Sprintf("/safe/%d/%d", n, i)
						if i%3 == 0 {
							method, path = http.MethodPost, fmt.Sprintf("/once/%d/%d", n, i)
						}
						w := d.send(vm, fmt.Sprintf("c%d-%d", n, i), method, path, "body")
						kind := 0
						if cut[vm] {
							kind = 1
						}
						if c := phase(at); c != nil {
							c.add(kind, w.Code == http.StatusOK, fmt.Sprintf("cut %v: %d %s", cut[vm], w.Code, w.Body))
						}
					}
				})
			}
			for i := range cut {
				d.dialers[i].set(tt.mode)
			}
			time.Sleep(length)
			for i := range cut {
				d.dialers[i].set(linksUp)
			}
			time.Sleep(contact + 2*time.Second)
			close(stop)
			g.Wait()
			for _, c := range []*tries{during, after} {
				t.Logf("at the VMs that were cut off %d of %d first tries were served, at the others %d of %d", c.served[1], c.sent[1], c.served[0], c.sent[0])
				assert.Assert(t, c.sent[0] > 0 && c.sent[1] > 0)
				share, others := float64(c.served[1])/float64(c.sent[1]), float64(c.served[0])/float64(c.sent[0])
				assert.Assert(t, others >= 0.9, "the other VMs served %.2f: %v", others, c.failures)
				assert.Assert(t, share >= others*2/3, "served %.2f of the first tries, the other VMs %.2f: %v", share, others, c.failures)
			}
		})
	}
}

// The process of a VM starts while the VM has no links to targets, as after a kill during the cut. It has never heard of a
// target, and must find out all the same that the fault is its own: its callers are served through other VMs.
func TestVMStartsCutOff(t *testing.T) {
	const contact, length = 3 * time.Second, 5 * time.Second
	for _, m := range []cutMode{linksHang, linksReset, linksRefuse, linksAcceptReset} {
		t.Run(m.String(), func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 3, 8)
			d.startVM(3, m)
			c := &tries{failures: map[string]int{}}
			var g sync.WaitGroup
			start := time.Now()
			for n := 0; time.Since(start) < length; n++ {
				g.Go(func() {
					at := time.Since(start)
					w := d.send(3, fmt.Sprintf("c%d", n), http.MethodGet, fmt.Sprintf("/safe/%d", n), "body")
					if at > contact {
						c.add(1, w.Code == http.StatusOK, fmt.Sprintf("%d %s", w.Code, w.Body))
					}
				})
				time.Sleep(50 * time.Millisecond)
			}
			g.Wait()
			t.Logf("%d of %d first tries were served", c.served[1], c.sent[1])
			assert.Assert(t, c.sent[1] > 0 && float64(c.served[1]) >= float64(c.sent[1])*2/3, "%d of %d: %v", c.served[1], c.sent[1], c.failures)
		})
	}
}
