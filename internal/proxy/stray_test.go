package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"gotest.tools/v3/assert"
)

// A faulty target writes a refusal on a connection that has carried a response before, while it runs
// the next request. Taken for the response to that request, the caller would be told that it has not
// run, or a second target would run it too.
func TestStrayRefusalOnKeptConnection(t *testing.T) {
	const tooMany = "HTTP/1.1 429 Too Many Requests\r\nEel-Shed: 1\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n"
	const badRequest = "HTTP/1.1 400 Bad Request\r\nEel-Shed: 1\r\nContent-Length: 0\r\n\r\n"
	const leaving = "HTTP/1.1 503 Service Unavailable\r\nEel-Shed: 1\r\nEel-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
	earlier := strings.Replace(shed, "Eel-Shed", "Eel-Request-Id: first\r\nEel-Shed", 1)
	tests := []struct{ name, line string }{
		{"503", shed}, {"429", tooMany}, {"400", badRequest}, {"421", misdirected}, {"of a target that leaves", leaving},
		{"of an earlier request", earlier}, {"twice", shed + shed},
	}
	for _, tt := range tests {
		for _, path := range []string{"/once/x", "/safe/x"} {
			t.Run(tt.name+path, func(t *testing.T) {
				s := newFakeTarget(t, okResponse, tt.line+okResponse, okResponse)
				p := newProxy(clusterOf(t, s))
				assert.Equal(t, doRequestAs(p, "first", path).Code, http.StatusOK)
				w := doRequestAs(p, "second", path)
				assert.Equal(t, w.Code, http.StatusOK, w.Body)
				assert.Equal(t, w.Body.String(), "body")
				assert.Equal(t, s.requests(), 2, "the request was sent again")
				assert.Equal(t, doRequestAs(p, "third", path).Code, http.StatusOK, "the target is out of use")
			})
		}
	}
}

// Nothing follows the stray refusal. A request that runs at most once is not sent again, and its
// caller is not told that it has not run.
func TestStrayRefusalAndNoResponse(t *testing.T) {
	for _, line := range []string{shed, misdirected} {
		faulty, sound := newFakeTarget(t, okResponse, line), newFakeTarget(t, okResponse)
		w := clusterOf(t, faulty, sound)
		w.setRoutes(func(r *model.Route) { r.TimeoutMillis, r.ObjectiveMillis = 300, 200 })
		p := newProxy(w)
		for i := 1; faulty.requests() < 2; i++ {
			assert.Assert(t, i < 100, "the target got no second request")
			c := doRequestAs(p, fmt.Sprint("id-", i), "/once/x").Code
			assert.Equal(t, faulty.requests()+sound.requests(), i, "a request was sent twice")
			if faulty.requests() == 2 {
				assert.Assert(t, c == http.StatusGatewayTimeout || c == http.StatusBadGateway, "status %d", c)
				continue
			}
			assert.Equal(t, c, http.StatusOK)
		}
	}
}
