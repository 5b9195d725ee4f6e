package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/pool"
	"github.com/eelgrassroad/eelgrassroad/internal/steer"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
	"gotest.tools/v3/assert"
)

// cutServer answers the n-th request with the first n bytes of a response and closes the
// connection. It returns its address.
func cutServer(t *testing.T, response string) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { lis.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
			}
			_, _ = io.WriteString(c, response[:min(n, len(response))])
			c.Close()
		}
	}()
	return lis.Addr().String()
}

// A target or an owner ends its response at any byte. Only the whole response is an answer, and
// nothing less says that the request has not run.
func TestAnswerCutAtAnyByte(t *testing.T) {
	const body = "0123456789"
	head := "HTTP/1.1 200 OK\r\n" + wire.HeaderRequestID + ": id-1\r\n"
	verdict := headerVerdict + ": " + string(resultAnswered) + "\r\n" + headerStatus + ": 200\r\n"
	shed := "HTTP/1.1 503 Service Unavailable\r\n" + wire.HeaderRequestID + ": id-1\r\nEel-Shed: 1\r\nContent-Length: 0\r\n\r\n"
	tests := []struct {
		name, response string
		send           func(*Entry, *job, string) tryResult
		want           resultKind
	}{
		{"target, length", head + "Content-Length: 10\r\n\r\n" + body, sendToTarget, resultAnswered},
		{"target, chunks", head + "Transfer-Encoding: chunked\r\n\r\na\r\n" + body + "\r\n0\r\n\r\n", sendToTarget, resultAnswered},
		{"target, no length", head + "\r\n" + body, sendToTarget, resultBroken},
		{"target, refusal", shed, sendToTarget, resultRefused},
		{"owner, length", head + verdict + "Content-Length: 10\r\n\r\n" + body, sendToOwner, resultAnswered},
		{"owner, chunks", head + verdict + "Transfer-Encoding: chunked\r\n\r\na\r\n" + body + "\r\n0\r\n\r\n", sendToOwner, resultAnswered},
		{"owner, no length", head + verdict + "\r\n" + body, sendToOwner, resultBroken},
		{"owner, verdict last", head + "Content-Length: 10\r\n" + verdict + "\r\n" + body, sendToOwner, resultAnswered},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			addr := cutServer(t, tt.response)
			x := newOwner(t, addr)
			for n := range len(tt.response) + 1 {
				j := &job{id: "id-1", service: "s", method: http.MethodPost, path: "/", deadline: x.now() + 5*time.Second, cls: model.Class{Delivery: model.AtMostOnce, MaxAnswerBytes: 100}}
				r := tt.send(x, j, addr)
				if n < len(tt.response) {
					assert.Equal(t, r.kind, resultBroken, "cut after %d bytes: %s", n, r.reason)
					continue
				}
				assert.Equal(t, r.kind, tt.want, r.reason)
				if tt.want == resultAnswered {
					assert.Equal(t, string(r.answer.body), body)
				}
			}
		})
	}
}

// sendToTarget sends a request to a target that the entry owns.
func sendToTarget(x *Entry, j *job, addr string) tryResult {
	p := pool.New(pool.Options{Service: j.service})
	own := pool.Target{ID: "t", Addr: addr, Domain: "a-1", Slots: 1, Incarnation: 1, Ready: true}
	p.SetOwned([]pool.Target{own})
	p.Update(own)
	t, err := p.Admit(pool.Request{Deadline: j.deadline, MaxQueued: 1, Domain: "a-1"})
	if err != nil {
		return refused(0, "%v", err)
	}
	s, err := t.Wait(context.Background())
	if err != nil {
		return refused(0, "%v", err)
	}
	return x.dispatch(context.Background(), j, s, ownerArgs{permit: &permit{}})
}

// sendToOwner forwards a request to an entry that owns the target.
func sendToOwner(x *Entry, j *job, addr string) tryResult {
	q, err := http.NewRequest(http.MethodPost, "http://"+addr+pathForward, nil)
	if err != nil {
		return refused(0, "%v", err)
	}
	return x.sendForward(q, j, &steer.Site{Addr: addr, Gauge: &steer.Gauge{}}, nil)
}

// An owner that knows a later catalogue may send an answer that is larger than the class allowed
// before. It must not be cut to that size and delivered as whole.
func TestForwardedAnswerOverTheBound(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + wire.HeaderRequestID + ": id-1\r\n" + headerVerdict + ": " + string(resultAnswered) + "\r\n" + headerStatus + ": 200\r\n"
	const maxBytes = 100
	for _, size := range []int{maxBytes, maxBytes + headerBytes, maxBytes + headerBytes + 1, 10 * (maxBytes + headerBytes)} {
		response := head + "Content-Length: " + strconv.Itoa(size) + "\r\n\r\n" + strings.Repeat("b", size)
		srv := httpServer(t, response)
		x := newOwner(t, srv)
		j := &job{id: "id-1", service: "s", deadline: x.now() + 5*time.Second, cls: model.Class{Delivery: model.AtMostOnce, MaxAnswerBytes: maxBytes}}
		r := sendToOwner(x, j, srv)
		if size > maxBytes+headerBytes {
			assert.Equal(t, r.kind, resultBroken, "%d bytes", size)
			continue
		}
		assert.Equal(t, r.kind, resultAnswered, r.reason)
		assert.Equal(t, len(r.answer.body), size)
	}
}

// httpServer answers one request with a response.
func httpServer(t *testing.T, response string) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { lis.Close() })
	go func() {
		c, err := lis.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, response)
		}
	}()
	return lis.Addr().String()
}
