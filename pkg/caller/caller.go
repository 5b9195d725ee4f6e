// Package caller is the client library of callers: it fetches and caches the list of
// entry VMs to use, and sends requests with an id and a deadline.
//
// # Usage
//
//	c := caller.New(caller.Options{Entries: []string{"10.0.0.11:7000"}, Region: "attiki"})
//	a, err := c.Do(ctx, caller.Request{Service: "registry", Class: "lookup", Path: "/cards/17"})
//
// If an entry answers neither a request nor a probe, the request is sent again to another
// entry with the same id. The system ensures that it runs at most once if its class
// requires that.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/internal/probe"
	"github.com/eelgrassroad/eelgrassroad/internal/reply"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	KindNoEntry    Kind = "noEntry"
	KindBadRequest Kind = "badRequest"
)

// Error is the error of this package.
type Error = errs.Error[Kind]

const (
	dialTimeout     = 500 * time.Millisecond
	defaultDeadline = 5 * time.Second
	// probeAfter is how long an entry may send nothing before it is probed.
	probeAfter   = 300 * time.Millisecond
	probeTimeout = 300 * time.Millisecond
	// maxSends is the maximum number of entries that one call of Do sends a request to.
	maxSends       = 3
	maxIdlePerHost = 256
	// maxHeadBytes is the maximum size of the head of an entry's response.
	maxHeadBytes = 64 << 10
)

// Options are the settings of a client.
type Options struct {
	// Entries are the addresses of entries that provide the list when none is cached.
	Entries []string
	Region  model.RegionID
	// DialContext replaces the default dialer if set.
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Request is a request of a caller.
type Request struct {
	Service     model.ServiceID
	Class       model.ClassID
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// ID stays the same when the caller retries; empty generates a new one.
	ID model.RequestID
	// Attempt increases by 1 after each outcome of notRun; 0 means 1.
	Attempt  uint64
	Deadline time.Duration
}

// Answer is the outcome of a request and, if it was answered, the answer.
type Answer struct {
	Outcome    wire.Outcome
	Status     int
	Body       []byte
	Policy     model.PolicyID
	Target     model.TargetID
	Reason     string
	RetryAfter time.Duration
	Entry      string
	Took       time.Duration
	// closed is set if notRun applies to all entries.
	closed bool
}

// Client is safe for concurrent use.
type Client struct {
	o      Options
	c      *http.Client
	list   list
	health health
}

// New returns a client.
func New(o Options) *Client {
	if o.DialContext == nil {
		o.DialContext = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	t := &http.Transport{DialContext: o.DialContext, MaxIdleConnsPerHost: maxIdlePerHost, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes}
	c := &Client{o: o, c: &http.Client{Transport: t}}
	c.health.init(c.ping)
	return c
}

// Close closes idle connections.
func (c *Client) Close() {
	c.c.CloseIdleConnections()
}

// Do sends a request and returns its outcome. The outcome is unknown if no entry answers.
func (c *Client) Do(ctx context.Context, r Request) (Answer, error) {
	from := time.Now()
	r = r.withDefaults()
	ctx, cancel := context.WithTimeout(ctx, r.Deadline)
	defer cancel()
	list, err := c.Entries(ctx)
	if err != nil {
		// An earlier call with the same id may have run.
		return Answer{Outcome: wire.Unknown, Reason: err.Error(), Took: time.Since(from)}, nil
	}
	tried := map[string]bool{}
	// mayStillRun is set if an aborted send may still arrive and run.
	mayStillRun := false
	last := Answer{Outcome: wire.Unknown, Reason: "no entry answered"}
	for range maxSends {
		addr, ok := c.health.pick(list, tried)
		if !ok || ctx.Err() != nil {
			break
		}
		tried[addr] = true
		a, err := c.sendWithProbe(ctx, addr, list, r, from)
		if err != nil {
			last.Reason = err.Error()
			mayStillRun = mayStillRun || !failedToConnect(err)
			if ctx.Err() == nil {
				c.health.failed(addr)
			}
			continue
		}
		c.health.recordResponse(addr)
		last = a
		if mayStillRun && a.Outcome == wire.NotRun && !a.closed {
			last.Outcome = wire.Unknown
			last.Reason = "an aborted send to another entry may still run; this entry answered: " + a.Reason
		}
		break
	}
	last.Took = time.Since(from)
	return last, nil
}

// failedToConnect reports whether a send failed before a connection was established.
func failedToConnect(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial"
}

func (r Request) withDefaults() Request {
	if r.Method == "" {
		r.Method = http.MethodGet
		if len(r.Body) > 0 {
			r.Method = http.MethodPost
		}
	}
	if r.ID == "" {
		r.ID = model.RequestID(fmt.Sprintf("r%016x", rand.Uint64()))
	}
	if r.Attempt == 0 {
		r.Attempt = 1
	}
	if r.Deadline == 0 {
		r.Deadline = defaultDeadline
	}
	return r
}

// sendWithProbe sends a request, and aborts it if the entry does not answer a probe either.
func (c *Client) sendWithProbe(ctx context.Context, addr string, list []wire.Entry, r Request, from time.Time) (Answer, error) {
	o := probe.Options{Interval: probeAfter, ProbeTimeout: probeTimeout, Probe: func(ctx context.Context) error {
		if c.health.isUnresponsive(addr) {
			c.health.probeAll(list)
		}
		return c.health.check(ctx, addr)
	}}
	return probe.Do(ctx, o, func(ctx context.Context) (Answer, error) { return c.send(ctx, addr, r, from) })
}

func (c *Client) send(ctx context.Context, addr string, r Request, from time.Time) (Answer, error) {
	u := fmt.Sprintf("http://%s%s/%s/%s%s", addr, wire.PathServices, r.Service, r.Class, r.Path)
	q, err := http.NewRequestWithContext(ctx, r.Method, u, bytes.NewReader(r.Body))
	if err != nil {
		return Answer{}, errs.New("caller.Do", KindBadRequest, err)
	}
	if r.ContentType != "" {
		q.Header.Set("Content-Type", r.ContentType)
	}
	left := r.Deadline - time.Since(from)
	q.Header.Set(wire.HeaderRequestID, string(r.ID))
	q.Header.Set(wire.HeaderAttempt, strconv.FormatUint(r.Attempt, 10))
	q.Header.Set(wire.HeaderDeadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	if c.o.Region != "" {
		q.Header.Set(wire.HeaderRegion, string(c.o.Region))
	}
	res, err := c.c.Do(q)
	if err != nil {
		return Answer{}, err
	}
	defer res.Body.Close()
	if err := reply.Check(res.StatusCode); err != nil {
		return Answer{}, err
	}
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return Answer{}, err
	}
	return c.answer(addr, res, b), nil
}

func (c *Client) answer(addr string, res *http.Response, b []byte) Answer {
	h := res.Header
	a := Answer{
		Outcome: wire.Outcome(h.Get(wire.HeaderOutcome)), Status: res.StatusCode, Body: b, Entry: addr,
		Policy: model.PolicyID(h.Get(wire.HeaderPolicy)), Target: model.TargetID(h.Get(wire.HeaderTarget)),
		closed: h.Get(wire.HeaderClosed) != "",
	}
	if ms, err := strconv.ParseInt(h.Get(wire.HeaderRetryAfterMillis), 10, 64); err == nil {
		a.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	if a.Outcome == wire.Answered {
		return a
	}
	var f wire.Failure
	if json.Unmarshal(b, &f) == nil {
		a.Reason = f.Error
		if a.Outcome == "" {
			a.Outcome = f.Outcome
		}
	}
	return a
}
