package main

import (
	"context"
	"sync"
	"time"
)

// deadly sends a request that crashes the servers that begin to run it. In series it comes three times, each time at one machine.
// Otherwise it comes twice, and later at all machines within a moment.
func deadly(d *deployment, trouble, series, silent bool, attempts int) (broken bool, err error) {
	const (
		contact = 3 * time.Second
		path    = "/ask/deadly"
	)
	if err := d.startAll(); err != nil {
		return false, err
	}
	op := newClient(2)
	routes := []route{
		{Prefix: "/ask/", Service: "svc", Kind: "idempotent", LatencyMS: 400, TimeoutMS: 3000, Attempts: attempts},
		{Prefix: "/issue/", Service: "svc", Kind: "non_idempotent", LatencyMS: 600, TimeoutMS: 4000, Attempts: 2},
	}
	type crash struct {
		server, id string
		at         time.Duration
	}
	var mu sync.Mutex
	var crashes []crash
	var servers []*server
	stopping := false
	var launch func(n int, cold time.Duration) error
	launch = func(n int, cold time.Duration) error {
		s := d.newServer(n, "svc", zones[n%len(zones)], 3, 150*time.Millisecond)
		s.setCold(cold)
		if trouble {
			s.deadly, s.silent = path, silent
		}
		s.crashed = func(id string, at time.Duration) {
			d.rec.add("server %s at %s crashes as it begins to run %s", s.id, s.addr(), id)
			mu.Lock()
			crashes = append(crashes, crash{s.id, id, at})
			mu.Unlock()
			time.AfterFunc(3*time.Second, func() {
				mu.Lock()
				stop := stopping
				mu.Unlock()
				if !stop {
					if err := launch(n, 3*time.Second); err != nil {
						d.rec.add("server at %s is not back: %v", s.addr(), err)
					}
				}
			})
		}
		if err := s.start(); err != nil {
			return err
		}
		mu.Lock()
		servers = append(servers, s)
		mu.Unlock()
		return nil
	}
	for n := range 12 {
		if err := launch(n, 0); err != nil {
			return false, err
		}
	}
	defer func() {
		mu.Lock()
		stopping = true
		list := servers
		mu.Unlock()
		for _, s := range list {
			s.end()
		}
	}()
	if err := d.order(op, "/api/Config.Put", manifest(7, routes, []service{{"svc"}}), 20*time.Second); err != nil {
		return false, err
	}
	if err := waitHeard(servers...); err != nil {
		return false, err
	}
	if err := d.waitServed("/ask/"); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := &load{d: d, addrs: d.fronts(), method: "POST", path: "/issue/", body: 300, rate: 40, timeout: 4 * time.Second}
	var g sync.WaitGroup
	g.Go(func() { l.run(ctx) })
	time.Sleep(2 * time.Second)
	var deadlies []*load
	send := func(addr string) {
		x := &load{d: d, addrs: []string{addr}, method: "GET", timeout: 3 * time.Second, fixedPath: path}
		deadlies = append(deadlies, x)
		g.Go(func() { x.one(newPatientClient(), 0) })
	}
	thirdCrash := func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if len(crashes) < 3 {
			return 0
		}
		return crashes[2].at
	}
	if series {
		times := 4
		if silent {
			times = 9
		}
		for i := range times {
			d.rec.add("the request is sent to %s", d.fronts()[i%len(d.fronts())])
			send(d.fronts()[i%len(d.fronts())])
			time.Sleep(contact + 1500*time.Millisecond)
		}
	} else {
		for i := range 2 {
			d.rec.add("the request is sent to %s", d.fronts()[i])
			send(d.fronts()[i])
			time.Sleep(1500 * time.Millisecond)
		}
		time.Sleep(contact)
		d.rec.add("the request is sent to %d machines at the same time", len(d.entries))
		for _, a := range d.fronts() {
			send(a)
		}
		time.Sleep(4 * time.Second)
	}
	third := thirdCrash()
	cancel()
	g.Wait()
	late := 0
	mu.Lock()
	for i, c := range crashes {
		if i >= 3 && c.at > third+contact {
			late++
		}
	}
	mu.Unlock()
	for _, x := range deadlies {
		for _, r := range x.results() {
			d.rec.add("%s, sent to %s at %.3f: %d %s", r.id, r.addr, r.at.Seconds(), r.status, r.err)
		}
	}
	lost := 0
	for _, r := range l.results() {
		if r.status == 502 || r.status == 0 {
			lost++
			d.rec.add("other work: %s (POST, runs once at most), sent at %.3f: %d %s", r.id, r.at.Seconds(), r.status, r.err)
		}
	}
	d.rec.add("other work: %v; %d requests that may run once lost their answer", tally(l.results()), lost)
	if !trouble {
		d.rec.add("no server crashed")
		return len(crashes) > 0, nil
	}
	d.rec.add("the third crash was at %.3f; later than %v after it, the request reached servers %d times; three are allowed", third.Seconds(), contact, late)
	return late > 3, nil
}
