package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// cutTarget answers each request with the first bytes of a response and ends the connection. With
// reset it resets it instead of closing it in order.
func cutTarget(t *testing.T, response string, reset bool) *fakeTarget {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { lis.Close() })
	s := &fakeTarget{t: t, lis: lis}
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				body, err := io.ReadAll(r.Body)
				if err != nil {
					return
				}
				s.mu.Lock()
				s.received, s.bodies = append(s.received, r), append(s.bodies, string(body))
				s.mu.Unlock()
				if tcp, ok := c.(*net.TCPConn); ok && reset {
					assert.Check(t, tcp.SetLinger(0) == nil)
				}
				_, _ = io.WriteString(c, response)
			}()
		}
	}()
	return s
}

// A target ends its response at any byte. Its caller gets the whole response or a failure, never a
// success with a part of the body, and a request that runs at most once is not sent again.
func TestResponseCutAtAnyByte(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nEel-Request-Id: id-1\r\nEel-Digest: d\r\n"
	const stray = "HTTP/1.1 200 OK\r\nEel-Request-Id: other\r\nEel-Digest: d\r\nContent-Length: 5\r\n\r\nother"
	tests := []struct {
		name, prefix, response string
		// body is the body of the whole response.
		body string
		// unframed means that the response has no length: it ends with its connection, unless that is
		// reset.
		unframed bool
	}{
		{"length", "", head + "Content-Length: 10\r\n\r\n0123456789", "0123456789", false},
		{"length first", "", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nEel-Request-Id: id-1\r\nEel-Digest: d\r\n\r\n0123456789", "0123456789", false},
		{"chunks", "", head + "Transfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n0\r\n\r\n", "0123456789", false},
		{"no length", "", head + "\r\n0123456789", "0123456789", true},
		{"no length, closing", "", head + "Connection: close\r\n\r\n0123456789", "0123456789", true},
		{"no body", "", "HTTP/1.1 204 No Content\r\nEel-Request-Id: id-1\r\nEel-Digest: d\r\n\r\n", "", false},
		{"after an interim response", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", head + "Content-Length: 10\r\n\r\n0123456789", "0123456789", false},
		{"after a response to another request", stray, head + "Content-Length: 10\r\n\r\n0123456789", "0123456789", false},
	}
	for _, tt := range tests {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reset %v", tt.name, reset), func(t *testing.T) {
				var g sync.WaitGroup
				limit := make(chan struct{}, 16)
				for n := range len(tt.response) + 1 {
					limit <- struct{}{}
					g.Go(func() {
						defer func() { <-limit }()
						s := cutTarget(t, tt.prefix+tt.response[:n], reset)
						w := doRequestAs(newProxy(clusterOf(t, s)), "id-1", "/once/x")
						want, isWhole := tt.body, n == len(tt.response)
						if tt.unframed {
							// Any part of the body is whole, as far as can be told.
							_, want, isWhole = strings.Cut(tt.response[:n], "\r\n\r\n")
							isWhole = isWhole && !reset
						}
						if w.Code < http.StatusMultipleChoices {
							assert.Check(t, isWhole, "cut after %d bytes: status %d, body %q", n, w.Code, w.Body)
							assert.Check(t, w.Body.String() == want, "cut after %d bytes: body %q", n, w.Body)
						} else {
							assert.Check(t, w.Code == http.StatusBadGateway, "cut after %d bytes: status %d", n, w.Code)
							assert.Check(t, reset || !isWhole, "the whole response of %d bytes was not delivered", n)
						}
						assert.Check(t, s.requests() == 1, "cut after %d bytes: sent %d times", n, s.requests())
					})
				}
				g.Wait()
			})
		}
	}
}
