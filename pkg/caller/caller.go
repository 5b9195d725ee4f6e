// Package caller is the client of callers: it asks the system which entry VMs
// to use, caches the list, and sends requests with an id and a deadline.
//
// # Usage
//
//	c := caller.New(caller.Options{Entries: []string{"10.0.0.11:7000"}, Region: "attiki"})
//	a, err := c.Do(ctx, caller.Request{Service: "registry", Class: "lookup", Path: "/cards/17"})
//
// A request whose entry answers neither it nor a probe is sent again by another
// entry with the same id; the system sees to it that it runs at most once where
// its class says so.
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
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
)

// Kind tells the errors of the package apart.
type Kind string

// The kinds of errors.
const (
	KindNoEntry Kind = "noEntry"
	KindBadRequest     Kind = "badRequest"
)

// Error is the error of this package.
type Error = errs.Error[Kind]

const (
	dialTimeout     = 500 * time.Millisecond
	defaultDeadline = 5 * time.Second
	// silentAfter is how long an entry may say nothing before it is probed.
	silentAfter  = 300 * time.Millisecond
	probeTimeout = 300 * time.Millisecond
	// maxSends bounds how often one request is sent.
	maxSends    = 3
	idlePerHost = 256
)

// Options are the settings of a client.
type Options struct {
	// Entries are addresses to ask for the list when none is cached.
	Entries []string
	Region  model.RegionID
	// DialContext overrides how connections are made.
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Request is what a caller asks for.
type Request struct {
	Service     model.ServiceID
	Class       model.ClassID
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// ID is the same when the caller asks again; empty makes a new one.
	ID model.RequestID
	// Attempt rises after an outcome of notRun; 0 means 1.
	Attempt  uint64
	Deadline time.Duration
}

// Answer is the outcome of a request.
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
	// closed says that notRun holds for all entries.
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
	t := &http.Transport{DialContext: o.DialContext, MaxIdleConnsPerHost: idlePerHost, DisableCompression: true}
	c := &Client{o: o, c: &http.Client{Transport: t}}
	c.health.init(c.ping)
	return c
}

// Close closes idle connections.
func (c *Client) Close() {
	c.c.CloseIdleConnections()
}

// Do sends a request and returns its outcome. Without an answer from any entry the outcome is unknown.
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
	// open says that a send that was given up may still arrive and run.
	open := false
	last := Answer{Outcome: wire.Unknown, Reason: "no entry answered"}
	for range maxSends {
		addr, ok := c.health.pick(list, tried)
		if !ok || ctx.Err() != nil {
			break
		}
		tried[addr] = true
		a, err := c.watched(ctx, addr, list, r, from)
		if err != nil {
			last.Reason = err.Error()
			open = open || !neverSent(err)
			if ctx.Err() == nil {
				c.health.failed(addr)
			}
			continue
		}
		c.health.answered(addr)
		last = a
		if open && a.Outcome == wire.NotRun && !a.closed {
			last.Outcome = wire.Unknown
			last.Reason = "a send to another entry may still run; this one said: " + a.Reason
		}
		break
	}
	last.Took = time.Since(from)
	return last, nil
}

// neverSent tells whether a send failed before there was a connection.
func neverSent(err error) bool {
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

// watched sends a request, and gives it up when the entry turns out to be silent.
func (c *Client) watched(ctx context.Context, addr string, list []wire.Entry, r Request, from time.Time) (Answer, error) {
	o := probe.Options{Interval: silentAfter, ProbeTimeout: probeTimeout, Probe: func(ctx context.Context) error {
		if c.health.silent(addr) {
			c.health.survey(list)
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
