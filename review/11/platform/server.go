package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is one request as a server saw it.
type arrival struct {
	id     string
	at     time.Duration
	cold   time.Duration // how long the server stays cold, at the arrival
	status int
	ended  time.Duration
	key    string
	via    string
}

// server is a stand-in for a backend. It runs slots requests at the same time and queues some more.
type server struct {
	d                 *deployment
	id, service, zone string
	ip                string
	born              int64
	slots, queue      int
	work              time.Duration

	mu        sync.Mutex
	state     string
	sequence  int
	coldUntil time.Duration
	arrivals  []*arrival
	waiting   int
	running   int
	sem       chan struct{}
	h         *http.Server
	lis       net.Listener
	done      chan struct{}
	heard     bool
	limit     string
	limitAt   time.Duration
	// beats, if set, replaces the choice of the daemon for a check-in.
	pick func(sequence int) string
	// before is called before each check-in.
	before func(sequence int)
	crash  int // arrivals in a second at which a cold server crashes, or 0
	ended  bool
	// picky, if set, resets the connections of a machine that is cut off.
	picky *picky
	// conns are the open connections, if they are tracked.
	conns map[net.Conn]bool
	// deadly is the path of a request that crashes the server when it begins to run it; crashed is called then.
	deadly string
	// silent means that such a crash takes the machine along: open connections get no answer and no reset.
	silent  bool
	crashed func(id string, at time.Duration)
}

func (d *deployment) newServer(n int, service, zone string, slots int, work time.Duration) *server {
	return &server{
		d: d, id: fmt.Sprintf("i-%d-%08x", n, time.Now().UnixNano()&0xffffffff), service: service, zone: zone, ip: d.ip(3, n),
		born: time.Now().UnixMilli(), slots: slots, queue: 3 * slots, work: work, state: "ready", sem: make(chan struct{}, slots), done: make(chan struct{}),
	}
}

func (s *server) addr() string { return fmt.Sprintf("%s:%d", s.ip, serverPort) }

// start listens and begins to check in.
func (s *server) start() error {
	l, err := net.Listen("tcp", s.addr())
	if err != nil {
		return err
	}
	if s.picky != nil {
		s.picky.Listener = l
		l = s.picky
	}
	s.lis = l
	s.h = &http.Server{Handler: s, ConnState: func(c net.Conn, st http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch {
		case s.conns == nil:
		case st == http.StateNew:
			s.conns[c] = true
		case st == http.StateClosed:
			delete(s.conns, c)
		}
	}}
	go func() { _ = s.h.Serve(l) }()
	go s.beat()
	return nil
}

// goDark ends check-ins and the listener, and leaves the open connections without an answer for as long as the case runs.
func (s *server) goDark() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	close(s.done)
	_ = s.lis.Close()
	time.Sleep(maxTime)
}

// end closes everything, as the end of the process would.
func (s *server) end() {
	s.mu.Lock()
	if s.ended {
		s.mu.Unlock()
		return
	}
	s.ended = true
	s.mu.Unlock()
	close(s.done)
	_ = s.h.Close()
}

func (s *server) coldLeft() time.Duration { return max(0, s.coldUntil-s.d.rec.now()) }

func (s *server) setCold(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = s.d.rec.now() + d
}

const heartbeat = 1500 * time.Millisecond

func (s *server) beat() {
	c := newClient(1)
	next := time.Now()
	for i := 0; ; {
		if s.before != nil {
			s.before(s.sequence + 1)
		}
		for range 3 {
			list := s.d.controls()
			addr := list[i%len(list)]
			if s.pick != nil {
				addr = s.pick(s.sequence + 1)
			}
			if s.checkIn(c, addr) {
				break
			}
			i++
		}
		next = next.Add(heartbeat)
		select {
		case <-s.done:
			return
		case <-time.After(time.Until(next)):
		}
	}
}

// checkIn sends one heartbeat and reports whether it was acknowledged.
func (s *server) checkIn(c *http.Client, addr string) bool {
	type m = map[string]any
	s.mu.Lock()
	s.sequence++
	cold := s.coldLeft().Milliseconds()
	b, _ := json.Marshal(m{
		"address": s.addr(), "born": s.born, "info": m{"service": s.service, "version": "v1", "zone": s.zone, "slots": s.slots},
		"status": m{"state": s.state, "sequence": s.sequence, "cold_remaining": fmt.Sprintf("%dms", cold)},
	})
	seq := s.sequence
	s.mu.Unlock()
	resp, err := c.Post("http://"+addr+"/api/Instances.Heartbeat/"+s.id, "application/json", bytes.NewReader(b))
	if err != nil {
		s.d.rec.add("server %s: check-in %d (cold_remaining %dms) at %s failed: %v", s.id, seq, cold, addr, err)
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if seq < 8 || resp.StatusCode != 200 {
		s.d.rec.add("server %s: check-in %d (cold_remaining %dms) at %s: %d", s.id, seq, cold, addr, resp.StatusCode)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard = s.heard || resp.StatusCode == 200
	return resp.StatusCode == 200
}

// ServeHTTP answers as the pages say a backend does.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("Attempt-Id")
	h.Set("Attempt-Id", id)
	h.Set("Keep-Alive", "timeout=10")
	reject := func(status int) {
		h.Set("Not-Executed", "1")
		w.WriteHeader(status)
	}
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", s.id)
		h.Set("Cold-Ms", strconv.FormatInt(s.coldLeft().Milliseconds(), 10))
		w.WriteHeader(200)
		return
	}
	if want := r.Header.Get("Target-Instance"); want != "" && want != s.id {
		reject(421)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	via, _, _ := net.SplitHostPort(r.RemoteAddr)
	a := &arrival{id: id, at: s.d.rec.now(), cold: s.coldLeft(), via: via}
	s.arrivals = append(s.arrivals, a)
	inSecond := 0
	for i := len(s.arrivals) - 1; i >= 0 && s.arrivals[i].at > a.at-time.Second; i-- {
		if s.arrivals[i].cold > 0 {
			inSecond++
		}
	}
	if s.crash > 0 && a.cold > 0 && inSecond > s.crash {
		s.mu.Unlock()
		s.d.rec.add("server %s: crashes, cold, at %d requests in a second", s.id, inSecond)
		go s.end()
		panic(http.ErrAbortHandler)
	}
	full := s.running+s.waiting >= s.slots+s.queue
	if !full {
		s.waiting++
	}
	if s.limit != "" {
		h.Set("Server-Limit", s.limit)
		if s.limitAt == 0 {
			s.limitAt = s.d.rec.now()
		}
	}
	s.mu.Unlock()
	if full {
		a.status = 503
		reject(503)
		return
	}
	deadline, _ := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	t := time.NewTimer(time.Duration(deadline) * time.Millisecond)
	defer t.Stop()
	select {
	case s.sem <- struct{}{}:
	case <-t.C:
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
		a.status = 503
		reject(503)
		return
	case <-r.Context().Done():
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
		return
	}
	s.mu.Lock()
	s.waiting--
	s.running++
	s.mu.Unlock()
	if s.deadly != "" && r.URL.Path == s.deadly {
		s.crashed(id, s.d.rec.now())
		if s.silent {
			s.goDark()
		}
		s.end()
		panic(http.ErrAbortHandler)
	}
	work := s.work
	if a.cold > 0 {
		work *= 2
	}
	time.Sleep(work)
	s.mu.Lock()
	s.running--
	load := fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.slots)
	s.mu.Unlock()
	<-s.sem
	a.status, a.ended = 200, s.d.rec.now()
	h.Set("Backend-Load", load)
	h.Set("Response-Signature", "sig."+id)
	h.Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "answer to %s, %d bytes\n", id, len(body))
}

func (s *server) list() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]arrival, len(s.arrivals))
	for i, a := range s.arrivals {
		out[i] = *a
	}
	return out
}

// waitHeard waits until a check-in of each server was acknowledged.
func waitHeard(list ...*server) error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, s := range list {
			s.mu.Lock()
			if s.heard {
				n++
			}
			s.mu.Unlock()
		}
		if n == len(list) {
			return nil
		}
	}
	return fmt.Errorf("a check-in was not acknowledged within 15 s")
}
