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
	// host is the host name of all routes.
	host = "soak.example"
	// lookupService and issueService serve the idempotent and the at-most-once requests.
	lookupService model.ServiceID = "lookups"
	issueService  model.ServiceID = "issues"
	lookupPrefix                  = "/lookup/"
	issuePrefix                   = "/issue/"
	// revisionPrefix followed by a routing's revision is a path that only that routing has.
	revisionPrefix = "/revision/"
	// callerDeadline is the deadline of a caller's request.
	callerDeadline = 2 * time.Second
	// atMostOnceFraction is the fraction of requests that are delivered at most once.
	atMostOnceFraction = 0.4
	// objectCount is the number of objects that requests refer to.
	objectCount = 60
	// cancelFraction is the fraction of requests that their callers cancel early.
	cancelFraction = 0.03
	// burstFactor multiplies the request rate during a traffic burst.
	burstFactor      = 6
	dialTimeout      = time.Second
	requestBodyBytes = 300
)

// caller sends requests sequentially over persistent connections.
type caller struct {
	s             *soak
	n             int
	ip            string
	rnd           *rand.Rand
	http          *http.Client
	addrs         []string
	listExpiresAt time.Duration
	failed        map[string]time.Duration
	sent          int
}

func newCaller(s *soak, n int) *caller {
	ip := s.ip(callerSubnet, n+1)
	c := &caller{s: s, n: n, ip: ip, rnd: rand.New(rand.NewPCG(s.o.Seed, uint64(n)+100)), failed: map[string]time.Duration{}}
	c.http = clientFrom(ip)
	return c
}

// clientFrom returns a client whose connections have the given source IP address.
func clientFrom(ip string) *http.Client {
	d := &net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	return &http.Client{
		Transport:     &http.Transport{DialContext: d.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 4},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// run sends requests until the context is done.
func (c *caller) run(ctx context.Context) error {
	gap := time.Duration(float64(time.Second) * float64(c.s.o.Callers) / c.s.o.Rate)
	for ctx.Err() == nil {
		wait := time.Duration(c.rnd.ExpFloat64() * float64(gap))
		if c.s.burst.Load() {
			wait /= burstFactor
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

// address picks the entry for the next request from a cached list.
func (c *caller) address(ctx context.Context) (string, bool) {
	if c.s.mon.now() >= c.listExpiresAt {
		c.resolve(ctx)
	}
	var usable []string
	for _, a := range c.addrs {
		if c.s.mon.now() >= c.failed[a] {
			usable = append(usable, a)
		}
	}
	if len(usable) == 0 {
		c.listExpiresAt = 0
		return "", false
	}
	return usable[c.rnd.IntN(len(usable))], true
}

// resolve requests the list of entries to use from up to three entries.
func (c *caller) resolve(ctx context.Context) {
	d := c.s.domain(c.n)
	for range 3 {
		e := c.s.entries[c.rnd.IntN(len(c.s.entries))]
		q, cancel := context.WithTimeout(ctx, dialTimeout)
		l, err := platform.Client{HTTP: c.http}.Resolve(q, e.settings.Directory, host, c.s.domainRegions()[d], d)
		cancel()
		if err == nil && len(l.Addresses) > 0 {
			c.addrs, c.listExpiresAt = l.Addresses, c.s.mon.now()+l.TTL
			return
		}
	}
}

// request sends one request and retries it once where that is allowed.
func (c *caller) request(ctx context.Context, addr string) {
	atMostOnce := c.rnd.Float64() < atMostOnceFraction
	r := c.send(ctx, addr, atMostOnce)
	if r.retryable && (!atMostOnce || r.notRun) {
		time.Sleep(min(r.retryAfter, callerDeadline/3))
		if a, ok := c.address(ctx); ok {
			r = c.send(ctx, a, atMostOnce)
		}
	}
	c.s.mon.recordResult(r.ok)
}

// outcome is the result that a caller received.
type outcome struct {
	ok, notRun, retryable bool
	retryAfter            time.Duration
}

func (c *caller) send(ctx context.Context, addr string, atMostOnce bool) outcome {
	c.sent++
	id := fmt.Sprintf("r%d-%d-%d", c.s.o.Seed, c.n, c.sent)
	service, prefix, method, body := lookupService, lookupPrefix, http.MethodGet, ""
	if atMostOnce {
		service, prefix, method, body = issueService, issuePrefix, http.MethodPost, strings.Repeat("x", requestBodyBytes)
	}
	wait := callerDeadline
	if c.rnd.Float64() < cancelFraction {
		wait = time.Duration(c.rnd.Int64N(int64(callerDeadline / 10)))
	}
	q, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	r, err := http.NewRequestWithContext(q, method, "http://"+addr+prefix+strconv.Itoa(c.rnd.IntN(objectCount)), strings.NewReader(body))
	if err != nil {
		return outcome{}
	}
	r.Host = host
	r.Header.Set(platform.Headers.RequestID, id)
	r.Header.Set(platform.Headers.Object, strconv.Itoa(c.rnd.IntN(objectCount)))
	r.Header.Set(platform.Headers.Deadline, strconv.FormatInt(callerDeadline.Milliseconds(), 10))
	key, workspace, withdrawn := c.key()
	r.Header.Set(platform.Headers.Authorization, "Bearer "+key)
	r.Header.Set(platform.Headers.Workspace, "of the caller's own")
	c.s.mon.sent(id, attempt{service: service, atMostOnce: atMostOnce, workspace: workspace, withdrawn: withdrawn})
	startedAt := c.s.mon.now()
	a, err := c.http.Do(r)
	var b []byte
	if err == nil {
		b, err = io.ReadAll(a.Body)
		a.Body.Close()
	}
	if err != nil {
		c.recordFailure(q, id, addr, startedAt, err)
		return outcome{retryable: true}
	}
	return c.classify(id, a, string(b))
}

// recordFailure records a request without a complete response.
func (c *caller) recordFailure(ctx context.Context, id, addr string, startedAt time.Duration, err error) {
	if ctx.Err() != nil {
		return // The caller cancelled, or its deadline passed.
	}
	c.failed[addr] = c.s.mon.now() + dialTimeout
	ip, _, _ := net.SplitHostPort(addr)
	at := c.s.mon.now()
	if !c.s.inPlannedStop(ip, startedAt) || !c.s.mon.faultFree(startedAt, ip, core) {
		return
	}
	dial := &net.OpError{}
	if errors.As(err, &dial) && dial.Op == "dial" {
		return
	}
	crossed := at-startedAt <= maxCloseRace && !c.s.mon.hasRun(id)
	c.s.mon.check(GracefulStop, crossed, "request %s to %s was cut in a planned stop after %s: %v", id, addr, at-startedAt, err)
}

// classify checks a response and returns the outcome.
func (c *caller) classify(id string, a *http.Response, body string) outcome {
	d := platform.Headers
	switch s := a.StatusCode; {
	case s == http.StatusOK:
		got := a.Header.Get(d.RequestID)
		c.s.mon.check(Intact, got == id && a.Header.Get(d.Digest) == expectedDigest(id) && body == expectedBody(id),
			"request %s got an answer to %q of %d bytes, not %d", id, got, len(body), len(expectedBody(id)))
		return outcome{ok: true}
	case slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, s):
		c.s.mon.notRun(id)
		retryAfter, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
		if err != nil {
			retryAfter = 0
		}
		return outcome{notRun: true, retryable: true, retryAfter: time.Duration(retryAfter * float64(time.Second))}
	}
	return outcome{retryable: true}
}
