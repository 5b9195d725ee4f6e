package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// minOwnFDs is the number of descriptors that the clients need: two for each request.
const minOwnFDs = 12_000

// idle has each request come from a client of its own, which asks the directory first, and whose connections stay open and idle. The
// operator's idle_timeout is 15 s.
func idle(d *deployment, trouble bool, rate float64) (broken bool, err error) {
	const (
		contact = 4 * time.Second
		length  = 74 * time.Second
	)
	// This process holds the other end of all connections.
	var own syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own); err != nil {
		return false, err
	}
	if own.Cur < minOwnFDs {
		return false, fmt.Errorf("the stand-ins need %d descriptors, this process may have %d", minOwnFDs, own.Cur)
	}
	for _, x := range d.entries {
		x.maxFDs = 4100
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	op := newClient(2)
	routes := []route{{Prefix: "/ask/", Service: "svc", Kind: "idempotent", LatencyMS: 400, TimeoutMS: 3000, Attempts: 2}}
	var servers []*server
	for n := range 4 {
		s := d.newServer(n, "svc", zones[n], 3, 30*time.Millisecond)
		if err := s.start(); err != nil {
			return false, err
		}
		defer s.end()
		servers = append(servers, s)
	}
	if err := d.order(op, "/api/Config.Put", manifest(7, routes, []service{{"svc"}}), 20*time.Second); err != nil {
		return false, err
	}
	if err := waitHeard(servers...); err != nil {
		return false, err
	}
	if err := d.waitServed("/ask/"); err != nil {
		return false, err
	}
	type try struct {
		entry  int
		at     time.Duration
		status int
		err    string
	}
	var mu sync.Mutex
	var tries []*try
	var open []net.Conn
	ready := make([]map[int]int, len(d.entries))
	var g sync.WaitGroup
	stop := make(chan struct{})
	type check struct {
		at time.Duration
		ok bool
	}
	checks := make([][]check, len(d.entries))
	for i, x := range d.entries {
		ready[i] = map[int]int{}
		g.Go(func() {
			c := newClient(1) // The platform's own check, once per second, on a connection that it keeps.
			for {
				at := d.rec.now()
				resp, err := c.Get(fmt.Sprintf("http://%s:%d/api/ready", x.ip, readyPort))
				status := 0
				if err == nil {
					status = resp.StatusCode
					_ = resp.Body.Close()
				}
				mu.Lock()
				ready[i][status]++
				checks[i] = append(checks[i], check{at, status == 200})
				mu.Unlock()
				select {
				case <-stop:
					return
				case <-time.After(time.Second):
				}
			}
		})
	}
	// ask sends one call on a new connection and returns its status. With trouble the connection stays open: its client does
	// nothing more, and closes it when the entry does.
	ask := func(addr, call string) (int, error) {
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			return 0, err
		}
		_ = c.SetDeadline(time.Now().Add(3 * time.Second))
		_, err = c.Write([]byte(call))
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(bufio.NewReader(c), nil)
		}
		if err != nil || !trouble {
			_ = c.Close()
			if err != nil {
				return 0, err
			}
			return resp.StatusCode, nil
		}
		mu.Lock()
		open = append(open, c)
		mu.Unlock()
		g.Go(func() {
			_ = c.SetDeadline(time.Time{})
			var b [4096]byte
			for {
				if _, err := c.Read(b[:]); err != nil {
					_ = c.Close()
					return
				}
			}
		})
		return resp.StatusCode, nil
	}
	one := func(i int) {
		// Clients allow a second for the directory; without it they use an address that they know.
		_, _ = ask(fmt.Sprintf("%s:%d", d.entries[i].ip, directoryPort), fmt.Sprintf(
			"GET /api/resolve?name=review.example&region=%s&zone=%s HTTP/1.1\r\nHost: directory\r\n\r\n", regionOf(d.entries[i].zone), d.entries[i].zone))
		t := &try{entry: i, at: d.rec.now()}
		mu.Lock()
		tries = append(tries, t)
		mu.Unlock()
		id := fmt.Sprintf("%016x", 0x9c41d07b00000000+uint64(requestNumber.Add(1)))
		status, err := ask(d.fronts()[i], fmt.Sprintf(
			"GET /ask/%s HTTP/1.1\r\nHost: review.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 3000\r\n\r\n", id, id))
		mu.Lock()
		t.status = status
		if err != nil {
			t.err = err.Error()
		}
		mu.Unlock()
	}
	var tg sync.WaitGroup
	next := time.Now()
	from := d.rec.now()
	d.rec.add("%g requests a second begin, each of a client of its own", rate)
	for n := 0; d.rec.now()-from < length; n++ {
		tg.Go(func() { one(n % len(d.entries)) })
		next = next.Add(time.Duration(float64(time.Second) / rate))
		time.Sleep(time.Until(next))
	}
	tg.Wait()
	close(stop)
	mu.Lock()
	for _, c := range open {
		_ = c.Close()
	}
	mu.Unlock()
	g.Wait()
	for i, x := range d.entries {
		per, ok := map[int]int{}, map[int]int{}
		longest, since, tried := time.Duration(0), time.Duration(-1), 0
		for _, t := range tries {
			if t.entry != i {
				continue
			}
			k := int(t.at.Seconds()) / 5
			per[k]++
			if t.status != 0 { // The connection was taken.
				ok[k]++
				since, tried = -1, 0
				continue
			}
			if since < 0 {
				since = t.at
			}
			if tried++; tried >= 7 {
				allReady := true
				for _, c := range checks[i] {
					if c.at >= since && c.at <= t.at && !c.ok {
						allReady = false
					}
				}
				if allReady {
					longest = max(longest, t.at-since)
				}
			}
		}
		for k := 0; k <= int(d.rec.now().Seconds())/5; k++ {
			if per[k] > 0 {
				d.rec.add("%s: from %d to %d s %d clients connect, %d get an answer", x.name, 5*k, 5*k+5, per[k], ok[k])
			}
		}
		d.rec.add("%s: answers to the readiness check by status (0: none): %v", x.name, ready[i])
		d.rec.add("%s: the longest time in which it took no new connection though it said that it is ready: %.1f s; the bound is %v", x.name, longest.Seconds(), contact)
		broken = broken || longest > contact
	}
	last := ""
	for _, t := range tries {
		if t.err != "" {
			last = fmt.Sprintf("%.3f: %s", t.at.Seconds(), t.err)
		}
	}
	d.rec.add("the last failure: %s", last)
	return broken, nil
}
