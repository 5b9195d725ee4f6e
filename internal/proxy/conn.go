package proxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/setup"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"golang.org/x/sys/unix"
)

const (
	// defaultIdleTimeout is how long an idle connection is kept if the target sets no timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how much earlier than the target the proxy closes an idle connection.
	idleMargin = time.Second
	// maxStrayResponses is the maximum number of responses read for one request on a connection:
	// those to other requests, which are skipped, and the one waited for.
	maxStrayResponses = 4
)

// call is one request in the form in which it is sent to a target.
type call struct {
	method, uri, host string
	header            http.Header
	body              requestBody
	id                string
	target            model.TargetID
	remaining         time.Duration
	headers           Headers
	access            access
	reservation       *memoryReservation
	// permit is called once a connection is established; if it returns a reason, the request is
	// not sent.
	permit func() string
}

// conns holds the connections to one target. Each carries one request at a time.
type conns struct {
	addr string
	dial setup.Dialer

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

type conn struct {
	net.Conn
	limit *limitedReader
	r     *bufio.Reader
	used  bool
	// expires is when the connection is too old to be reused.
	expires time.Time
}

func (c *conns) init(o Options, addr string) {
	c.addr, c.dial = addr, o.Dial
	if c.dial == nil {
		c.dial = new(net.Dialer).DialContext
	}
}

// get returns an idle connection that is still open, or a new one.
func (c *conns) get(ctx context.Context) (*conn, error) {
	now := time.Now()
	for {
		c.mu.Lock()
		if len(c.idle) == 0 {
			c.mu.Unlock()
			break
		}
		x := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		c.mu.Unlock()
		if now.Before(x.expires) && x.isReusable() {
			x.used = true
			return x, nil
		}
		x.Close()
	}
	n, err := c.dial(ctx, "tcp", c.addr)
	if err != nil {
		return nil, err
	}
	in, r := newReader(n)
	return &conn{Conn: n, limit: in, r: r}, nil
}

// put returns a connection to the idle list.
func (c *conns) put(x *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		x.Close()
		return
	}
	c.idle = append(c.idle, x)
}

// sweep closes idle connections that have expired, that the peer has closed, or on which
// unsolicited bytes arrived, which would fill the memory.
func (c *conns) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = slices.DeleteFunc(c.idle, func(x *conn) bool {
		if now.Before(x.expires) && x.isReusable() {
			return false
		}
		x.Close()
		return true
	})
}

// open lets connections be kept again after close.
func (c *conns) open() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = false
}

func (c *conns) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, x := range c.idle {
		x.Close()
	}
	c.idle = nil
}

// isReusable reports whether the peer has neither closed the connection nor sent unsolicited
// bytes.
func (x *conn) isReusable() bool {
	s, ok := x.Conn.(syscall.Conn)
	if !ok || x.r.Buffered() > 0 {
		return !ok
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, e := unix.Read(int(fd), b[:])
		idle = errors.Is(e, unix.EAGAIN)
		return true
	})
	return err == nil && idle
}

// exchange sends a request and reads its response. When the context ends, the connection is
// closed, which makes the target stop its work.
func (c *conns) exchange(ctx context.Context, q call) result {
	x, err := c.get(ctx)
	if err != nil {
		return result{outcome: unreached, reason: "target not reached: " + err.Error(), connRefused: errors.Is(err, syscall.ECONNREFUSED)}
	}
	stop := context.AfterFunc(ctx, func() { x.Close() })
	r, keep := result{outcome: refused}, true
	if r.reason = q.permit(); r.reason == "" {
		r, keep = x.exchange(q)
	}
	r.reused = x.used
	if stop() && keep {
		c.put(x)
	} else {
		x.Close()
	}
	return r
}

func (x *conn) exchange(q call) (result, bool) {
	if err := q.body.writeTo(x.Conn, q.encodeHead()); err != nil {
		return result{outcome: unknown, reason: "request not sent whole: " + err.Error(), broke: isBroken(err)}, false
	}
	for i := range maxStrayResponses {
		r, id, more, err := x.read(q, i == 0 && !x.used)
		if err != nil {
			return result{outcome: unknown, reason: "answer not whole: " + err.Error(), broke: isBroken(err)}, false
		}
		if id == q.id {
			return q.classify(r), more && x.r.Buffered() == 0
		}
		// This is a late response to another request; the response to this request follows it.
		if !more {
			break
		}
	}
	return result{outcome: unknown, reason: "the connection carries answers to other requests"}, false
}

// isBroken reports whether an error means that the peer or the network ended the connection.
func isBroken(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// encodeHead returns the head of the request in wire format.
func (q call) encodeHead() []byte {
	var b bytes.Buffer
	h := endToEnd(q.header)
	h.Set(q.headers.Deadline, strconv.FormatInt(max(1, q.remaining.Milliseconds()), 10))
	h.Set(q.headers.WantTarget, string(q.target))
	q.access.setHeaders(h, q.headers)
	h.Del("Host")
	h.Del("Expect")
	b.WriteString(q.method + " " + q.uri + " HTTP/1.1\r\nHost: " + q.host + "\r\n")
	if n := q.body.len(); n > 0 || q.method == http.MethodPost || q.method == http.MethodPut || q.method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.FormatInt(n, 10) + "\r\n")
	}
	// Writing to a buffer does not fail.
	_ = h.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// classify sets the outcome of a response to the request.
func (q call) classify(r result) result {
	if r.outcome == notRun {
		r.reason = "target did not run it: status " + strconv.Itoa(r.status)
		return r
	}
	switch {
	case r.status < http.StatusMultipleChoices && r.header.Get(q.headers.Digest) == "":
		r.outcome, r.reason = unknown, "a success without the target's digest"
	case impliesNotRun(r.status):
		r.outcome, r.reason = unknown, "the target failed it with status "+strconv.Itoa(r.status)+", and does not say that it has not run"
	}
	return r
}

// impliesNotRun reports whether a caller would take the status as a guarantee that the request
// has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
