package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// answer is what a client saw of one request.
type answer struct {
	sent, got        time.Duration
	id, path, method string
	front            string
	status           int
	body             string
	signed           bool
	err              error
}

// ledger holds what clients sent and what servers ran.
type ledger struct {
	mu      sync.Mutex
	answers []answer
	runs    []run
}

var book ledger

func (l *lab) ran(r run) {
	book.mu.Lock()
	book.runs = append(book.runs, r)
	book.mu.Unlock()
	l.at(r.at, "run %s %s by %s (%s, %s) from %s", r.id, r.path, r.server, r.service, r.zone, r.from)
}

// client sends requests to one front machine over kept connections.
type client struct {
	l     *lab
	front *machine
	http  *http.Client
}

func (l *lab) newClient(front *machine) *client {
	d := &net.Dialer{Timeout: time.Second}
	return &client{l: l, front: front, http: &http.Client{Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// send sends one request and records the answer.
func (c *client) send(method, path string, deadline time.Duration) answer {
	a := answer{id: fmt.Sprintf("%016x", rand.Uint64()), path: path, method: method, front: c.front.name, sent: c.l.now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("in")
	}
	q, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", c.front.ip, portFront, path), body)
	if err != nil {
		panic(err)
	}
	q.Host = host
	q.Header.Set("Attempt-Id", a.id)
	q.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	r, err := c.http.Do(q)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(r.Body)
		r.Body.Close()
		a.status, a.body, a.signed = r.StatusCode, string(b), r.Header.Get("Response-Signature") != ""
	}
	a.err, a.got = err, c.l.now()
	book.mu.Lock()
	book.answers = append(book.answers, a)
	book.mu.Unlock()
	c.l.at(a.sent, "sent %s %s %s to %s", a.id, method, path, a.front)
	c.l.at(a.got, "answered %s by %s: status %d, %q, %v", a.id, a.front, a.status, strings.TrimSpace(a.body), err)
	return a
}

// load sends requests at a steady rate until the time, each in a goroutine of its own, and returns when
// all have ended.
func (c *client) load(perSecond float64, until time.Duration, method, path string, deadline time.Duration) {
	var g sync.WaitGroup
	t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer t.Stop()
	for c.l.now() < until {
		g.Add(1)
		go func() {
			defer g.Done()
			c.send(method, path, deadline)
		}()
		<-t.C
	}
	g.Wait()
}
