package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/platform"
)

const (
	// host is the name that all routes are under.
	host = "soak.example"
	// lookupService and issueService run the idempotent and the at-most-once requests.
	lookupService model.ServiceID = "lookups"
	issueService  model.ServiceID = "issues"
	lookupPrefix                  = "/lookup/"
	issuePrefix                   = "/issue/"
	// revisionPrefix and the number of a routing is a path that only that routing has.
	revisionPrefix = "/revision/"
	// callerDeadline is how long a caller waits.
	callerDeadline = 2 * time.Second
	// issuePart is the part of requests that run at most once.
	issuePart = 0.4
	// objects is how many objects requests are about.
	objects = 60
	// leavePart is the part of requests whose callers leave early.
	leavePart = 0.03
	// rushFactor times as many requests come in a rush.
	rushFactor = 6
	dialWait   = time.Second
	bodyLength = 300
)

// caller sends requests one after the other over connections that it keeps.
type caller struct {
	s      *soak
	n      int
	ip     string
	rnd    *rand.Rand
	http   *http.Client
	list   []string
	until  time.Duration
	failed map[string]time.Duration
	sent   int
}

func newCaller(s *soak, n int) *caller {
	ip := s.ip(callerHosts, n+1)
	c := &caller{s: s, n: n, ip: ip, rnd: rand.New(rand.NewPCG(s.o.Seed, uint64(n)+100)), failed: map[string]time.Duration{}}
	c.http = clientFrom(ip)
	return c
}

// clientFrom returns a client whose connections come from an IP number.
func clientFrom(ip string) *http.Client {
	d := &net.Dialer{Timeout: dialWait, LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	return &http.Client{
		Transport:     &http.Transport{DialContext: d.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 4},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) error {
	gap := time.Duration(float64(time.Second) * float64(c.s.o.Callers) / c.s.o.Rate)
	for ctx.Err() == nil {
		wait := time.Duration(c.rnd.ExpFloat64() * float64(gap))
		if c.s.rush.Load() {
			wait /= rushFactor
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
		if a, ok := c.address(ctx); ok {
			c.request(ctx, a)
		}
	}
	return nil
}

// address returns the entry for the next request, from a list that callers keep.
func (c *caller) address(ctx context.Context) (string, bool) {
	if c.s.w.now() >= c.until {
		c.resolve(ctx)
	}
	var usable []string
	for _, a := range c.list {
		if c.s.w.now() >= c.failed[a] {
			usable = append(usable, a)
		}
	}
	if len(usable) == 0 {
		c.until = 0
		return "", false
	}
	return usable[c.rnd.IntN(len(usable))], true
}

// resolve asks up to three entries which ones to use.
func (c *caller) resolve(ctx context.Context) {
	d := c.s.domain(c.n)
	for range 3 {
		e := c.s.entries[c.rnd.IntN(len(c.s.entries))]
		q, cancel := context.WithTimeout(ctx, dialWait)
		l, err := platform.Client{HTTP: c.http}.Resolve(q, e.settings.Directory, host, c.s.places()[d], d)
		cancel()
		if err == nil && len(l.Addresses) > 0 {
			c.list, c.until = l.Addresses, c.s.w.now()+l.TTL
			return
		}
	}
}

// request sends one request, and again what may be sent again.
func (c *caller) request(ctx context.Context, addr string) {
	once := c.rnd.Float64() < issuePart
	r := c.send(ctx, addr, once)
	if r.again && (!once || r.notRun) {
		time.Sleep(min(r.after, callerDeadline/3))
		if a, ok := c.address(ctx); ok {
			r = c.send(ctx, a, once)
		}
	}
	c.s.w.ended(r.ok)
}

// told is what a caller was told.
type told struct {
	ok, notRun, again bool
	after             time.Duration
}

func (c *caller) send(ctx context.Context, addr string, once bool) told {
	c.sent++
	id := fmt.Sprintf("r%d-%d-%d", c.s.o.Seed, c.n, c.sent)
	service, prefix, method, body := lookupService, lookupPrefix, http.MethodGet, ""
	if once {
		service, prefix, method, body = issueService, issuePrefix, http.MethodPost, strings.Repeat("x", bodyLength)
	}
	wait := callerDeadline
	if c.rnd.Float64() < leavePart {
		wait = time.Duration(c.rnd.Int64N(int64(callerDeadline / 10)))
	}
	q, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	r, err := http.NewRequestWithContext(q, method, "http://"+addr+prefix+strconv.Itoa(c.rnd.IntN(objects)), strings.NewReader(body))
	if err != nil {
		return told{}
	}
	r.Host = host
	r.Header.Set(platform.Headers.RequestID, id)
	r.Header.Set(platform.Headers.Object, strconv.Itoa(c.rnd.IntN(objects)))
	r.Header.Set(platform.Headers.Deadline, strconv.FormatInt(callerDeadline.Milliseconds(), 10))
	key, space, withdrawn := c.key()
	r.Header.Set(platform.Headers.Authorization, "Bearer "+key)
	r.Header.Set(platform.Headers.Workspace, "of the caller's own")
	c.s.w.sent(id, attempt{service: service, once: once, space: space, withdrawn: withdrawn})
	began := c.s.w.now()
	a, err := c.http.Do(r)
	var b []byte
	if err == nil {
		b, err = io.ReadAll(a.Body)
		a.Body.Close()
	}
	if err != nil {
		c.broken(q, id, addr, began, err)
		return told{again: true}
	}
	return c.judge(id, a, string(b))
}

// broken notes a request without a whole answer.
func (c *caller) broken(ctx context.Context, id, addr string, began time.Duration, err error) {
	if ctx.Err() != nil {
		return // The caller left, or waited long enough.
	}
	c.failed[addr] = c.s.w.now() + dialWait
	ip, _, _ := net.SplitHostPort(addr)
	at := c.s.w.now()
	if !c.s.stopping(ip, began) || !c.s.w.unharmed(began, ip, core) {
		return
	}
	dial := &net.OpError{}
	if errors.As(err, &dial) && dial.Op == "dial" {
		return
	}
	crossed := at-began <= cutSlack && !c.s.w.ranAnywhere(id)
	c.s.w.check(Uncut, crossed, "request %s to %s was cut in a planned stop after %s: %v", id, addr, at-began, err)
}

// judge checks an answer and tells what follows from it.
func (c *caller) judge(id string, a *http.Response, body string) told {
	d := platform.Headers
	switch s := a.StatusCode; {
	case s == http.StatusOK:
		got := a.Header.Get(d.RequestID)
		c.s.w.check(Whole, got == id && a.Header.Get(d.Digest) == digestOf(id) && body == bodyOf(id),
			"request %s got an answer to %q of %d bytes, not %d", id, got, len(body), len(bodyOf(id)))
		return told{ok: true}
	case slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, s):
		c.s.w.notRun(id)
		after, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
		if err != nil {
			after = 0
		}
		return told{notRun: true, again: true, after: time.Duration(after * float64(time.Second))}
	}
	return told{again: true}
}
