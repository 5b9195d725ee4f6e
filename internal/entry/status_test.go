package entry

import (
	"context"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/pool"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
	"github.com/labstack/echo/v4"
	"gotest.tools/v3/assert"
)

// A status that no response can have, such as 000, must not become an answer: of a target, which says no more, of an owner that
// forwards it, or of a stored answer. The outcome is unknown at once.
func TestStatusOfNoAnswer(t *testing.T) {
	const atOnce = 500 * time.Millisecond
	tests := []struct {
		status string
		kind   resultKind
	}{
		{"000", resultBroken},
		{"001", resultBroken},
		{"099", resultBroken},
		{"101", resultBroken},
		{"150", resultBroken},
		{"199", resultBroken},
		{"299", resultAnswered},
		{"600", resultAnswered},
		{"999", resultAnswered},
	}
	paths := []struct {
		name string
		send func(t *testing.T, status string, j *job) tryResult
	}{
		{"own target", func(t *testing.T, status string, j *job) tryResult {
			x := newOwner(t, httpServer(t, "HTTP/1.1 "+status+" x\r\n"+wire.HeaderRequestID+": id-1\r\nContent-Length: 4\r\n\r\nbody"))
			ticket, err := x.pools.get("s").Admit(pool.Request{Deadline: j.deadline, MaxQueued: 1, Domain: "a-1"})
			assert.NilError(t, err)
			s, err := ticket.Wait(context.Background())
			assert.NilError(t, err)
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			return x.dispatch(ctx, j, s, ownerArgs{permit: &permit{}})
		}},
		{"forwarded", func(t *testing.T, status string, j *job) tryResult {
			owner := httpServer(t, "HTTP/1.1 200 OK\r\n"+wire.HeaderRequestID+": id-1\r\n"+headerVerdict+": "+string(resultAnswered)+"\r\n"+headerStatus+": "+status+"\r\nContent-Length: 4\r\n\r\nbody")
			return sendToOwner(newOwner(t, owner), j, owner)
		}},
		{"stored", func(t *testing.T, status string, _ *job) tryResult {
			n, err := strconv.Atoi(status)
			assert.NilError(t, err)
			return resultFromAnswer(&eelpb.Answer{Status: int32(n), Body: []byte("body")})
		}},
	}
	for _, tt := range tests {
		for _, path := range paths {
			t.Run(tt.status+" "+path.name, func(t *testing.T) {
				start := time.Now()
				r := path.send(t, tt.status, &job{id: "id-1", service: "s", method: "GET", path: "/", deadline: time.Hour, cls: model.Class{Delivery: model.AtMostOnce, MaxAnswerBytes: 100}})
				assert.Equal(t, r.kind, tt.kind, r.reason)
				assert.Assert(t, time.Since(start) < atOnce)
				w := httptest.NewRecorder()
				x := newOwner(t, "127.0.0.1:1")
				assert.NilError(t, x.respond(echo.New().NewContext(httptest.NewRequest("GET", "/", nil), w), nil, r))
				assert.Equal(t, strconv.Itoa(w.Code) == tt.status, tt.kind == resultAnswered)
			})
		}
	}
}
