package caller

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
	"gotest.tools/v3/assert"
)

// entryServer returns a stub entry that lists the given entries to callers.
func entryServer(t *testing.T, entries func() []string) *httptest.Server {
	t.Helper()
	m := http.NewServeMux()
	m.HandleFunc(wire.PathHealth, func(http.ResponseWriter, *http.Request) {})
	m.HandleFunc(wire.PathEntries, func(w http.ResponseWriter, _ *http.Request) {
		list := ""
		for i, a := range entries() {
			list += fmt.Sprintf(",{\"id\":\"e%d\",\"addr\":%q}", i, a)
		}
		fmt.Fprintf(w, "{\"ttlMillis\":2000,\"entries\":[%s]}", list[1:])
	})
	m.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(wire.HeaderOutcome, string(wire.Answered))
		fmt.Fprint(w, "body")
	})
	s := httptest.NewServer(m)
	t.Cleanup(s.Close)
	return s
}

// unresponsiveServer accepts connections and sends nothing, like a VM behind a network
// partition that drops packets.
func unresponsiveServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
		}
	}()
	return l.Addr().String()
}

// A caller whose nearest entry is unresponsive gets an answer from the next one well
// before its deadline, and does not wait for the unresponsive entry in the next request.
func TestUnresponsiveEntry(t *testing.T) {
	unresponsive := unresponsiveServer(t)
	var responsive *httptest.Server
	responsive = entryServer(t, func() []string { return []string{unresponsive, responsive.Listener.Addr().String()} })
	c := New(Options{Entries: []string{unresponsive, responsive.Listener.Addr().String()}})
	defer c.Close()
	const deadline = 5 * time.Second
	tests := []struct {
		name       string
		maxLatency time.Duration
	}{
		{"first", deadline / 2},
		{"second", probeAfter},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a, err := c.Do(context.Background(), Request{Service: "s", Class: "c", Path: "/", Deadline: deadline})
			assert.NilError(t, err)
			assert.Equal(t, a.Outcome, wire.Answered, a.Reason)
			assert.Assert(t, a.Took < tt.maxLatency, "took %s", a.Took)
		})
	}
}

// rejectingServer answers every request with notRun, with or without a closed claim.
func rejectingServer(t *testing.T, closed bool, entries func() []string) *httptest.Server {
	t.Helper()
	m := http.NewServeMux()
	m.Handle("/v1/services/", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(wire.HeaderOutcome, string(wire.NotRun))
		if closed {
			w.Header().Set(wire.HeaderClosed, "true")
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	m.Handle("/", entryServer(t, entries).Config.Handler)
	s := httptest.NewServer(m)
	t.Cleanup(s.Close)
	return s
}

// A send aborted at an unresponsive entry may still run, so notRun from the next entry
// does not decide the outcome, unless it reports a closed claim, which covers all entries.
func TestRejectionAfterUnresponsiveEntry(t *testing.T) {
	tests := []struct {
		name         string
		unresponsive bool
		closed       bool
		want         wire.Outcome
	}{
		{"rejected by the first entry", false, false, wire.NotRun},
		{"rejected by the next entry", true, false, wire.Unknown},
		{"rejected by the next entry with a closed claim", true, true, wire.NotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var list []string
			s := rejectingServer(t, tt.closed, func() []string { return list })
			if tt.unresponsive {
				list = append(list, unresponsiveServer(t))
			}
			list = append(list, s.Listener.Addr().String())
			c := New(Options{Entries: []string{s.Listener.Addr().String()}})
			defer c.Close()
			a, err := c.Do(context.Background(), Request{Service: "s", Class: "c", Path: "/", Deadline: 5 * time.Second})
			assert.NilError(t, err)
			assert.Equal(t, a.Outcome, tt.want, a.Reason)
		})
	}
}

// An entry's response with a status that none can have, such as 000, is no answer: the next entry is asked, and the
// outcome is unknown if there is none.
func TestStatusOfNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "101"} {
		var addrs []string
		broken := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if !assert.Check(t, err == nil) {
				return
			}
			defer c.Close()
			fmt.Fprintf(c, "HTTP/1.1 %s x\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", status, wire.HeaderOutcome, wire.Answered)
		}))
		healthy := entryServer(t, func() []string { return addrs })
		t.Cleanup(broken.Close)
		for _, next := range []bool{false, true} {
			addrs = []string{broken.Listener.Addr().String()}
			want := wire.Unknown
			if next {
				addrs, want = append(addrs, healthy.Listener.Addr().String()), wire.Answered
			}
			c := New(Options{Entries: []string{healthy.Listener.Addr().String()}})
			a, err := c.Do(context.Background(), Request{Service: "s", Class: "c", Path: "/"})
			c.Close()
			assert.NilError(t, err)
			assert.Equal(t, a.Outcome, want, "%s: %s", status, a.Reason)
			assert.Equal(t, a.Status == http.StatusOK, next, status)
		}
	}
}
