package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// sent is one request as its client saw it.
type sent struct {
	id     string
	addr   string
	at     time.Duration
	ended  time.Duration
	status int // 0: no answer, or the client left
	err    string
	signed bool
	left   time.Duration // when the client gave up, or 0
}

// load sends requests at a rate to a list of addresses in turn.
type load struct {
	d       *deployment
	addrs   []string
	method  string
	path    string
	body    int
	rate    float64
	timeout time.Duration
	// giveUp is after how long a client leaves, or 0.
	giveUp func(n int) time.Duration
	// fixedPath is the path of all requests, if set.
	fixedPath string
	// key returns the Affinity-Key of a request.
	key func(n int) string

	mu   sync.Mutex
	list []*sent
	n    atomic.Int64
	g    sync.WaitGroup
}

var requestNumber atomic.Int64

// run sends until the context ends and waits for the answers.
func (l *load) run(ctx context.Context) {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	next := time.Now()
	for ctx.Err() == nil {
		n := int(l.n.Add(1)) - 1
		l.g.Go(func() { l.one(c, n) })
		next = next.Add(time.Duration(float64(time.Second) / l.rate))
		time.Sleep(time.Until(next))
	}
	l.g.Wait()
}

func (l *load) one(c *http.Client, n int) {
	x := &sent{id: fmt.Sprintf("%016x", 0x9c41d07b00000000+uint64(requestNumber.Add(1))), addr: l.addrs[n%len(l.addrs)], at: l.d.rec.now()}
	l.mu.Lock()
	l.list = append(l.list, x)
	l.mu.Unlock()
	wait := l.timeout
	if l.giveUp != nil {
		if d := l.giveUp(n); d > 0 {
			wait = d
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	var body io.Reader
	if l.body > 0 {
		body = strings.NewReader(strings.Repeat("x", l.body))
	}
	path := l.path + x.id
	if l.fixedPath != "" {
		path = l.fixedPath
	}
	q, err := http.NewRequestWithContext(ctx, l.method, "http://"+x.addr+path, body)
	if err != nil {
		return
	}
	q.Host = "review.example"
	q.Header.Set("Attempt-Id", x.id)
	q.Header.Set("Deadline-Ms", strconv.FormatInt(l.timeout.Milliseconds(), 10))
	if l.key != nil {
		q.Header.Set("Affinity-Key", l.key(n))
	}
	resp, err := c.Do(q)
	var b []byte
	if err == nil {
		b, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	x.ended = l.d.rec.now()
	if err != nil {
		x.err = err.Error()
		if ctx.Err() != nil {
			x.left = x.ended
		}
		return
	}
	x.status, x.signed = resp.StatusCode, resp.Header.Get("Response-Signature") != ""
	if x.status != 200 {
		x.err = strings.TrimSpace(string(b))
	}
}

// newPatientClient returns an HTTP client without a limit of its own.
func newPatientClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
}

func (l *load) results() []sent {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]sent, len(l.list))
	for i, x := range l.list {
		out[i] = *x
	}
	return out
}

// fronts returns the addresses at which the entries hear clients.
func (d *deployment) fronts() []string {
	var out []string
	for _, x := range d.entries {
		out = append(out, fmt.Sprintf("%s:%d", x.ip, frontPort))
	}
	return out
}

// waitServed waits until each entry has served a request.
func (d *deployment) waitServed(path string) error {
	for _, a := range d.fronts() {
		ok := false
		for end := time.Now().Add(20 * time.Second); !ok && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			l := &load{d: d, addrs: []string{a}, method: "GET", path: path, timeout: 2 * time.Second}
			l.one(http.DefaultClient, 0)
			ok = l.results()[0].status == 200
		}
		if !ok {
			return fmt.Errorf("%s did not serve a request within 20 s", a)
		}
	}
	return nil
}

// tally counts the answers of a list by status.
func tally(list []sent) map[string]int {
	m := map[string]int{}
	for _, x := range list {
		k := strconv.Itoa(x.status)
		if x.status == 0 {
			k = "no answer"
			if x.left > 0 {
				k = "client left"
			}
		}
		m[k]++
	}
	return m
}
