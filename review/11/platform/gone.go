package main

import (
	"context"
	"net"
	"sync"
	"time"
)

// gone cuts one machine off from all servers while clients leave before their deadlines. Its connections to the servers are reset,
// those of the other machine live on, and new ones are refused.
func gone(d *deployment, trouble bool) (broken bool, err error) {
	for _, x := range d.entries {
		x.zone, x.bindSource = zones[0], true
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	op := newClient(2)
	routes := []route{{Prefix: "/issue/", Service: "svc", Kind: "non_idempotent", LatencyMS: 2000, TimeoutMS: 6000, Attempts: 2}}
	var servers []*server
	for n := range 6 {
		s := d.newServer(n, "svc", zones[0], 3, 600*time.Millisecond)
		s.conns = map[net.Conn]bool{}
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
	if err := d.waitServed("/issue/"); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g sync.WaitGroup
	a, b := d.fronts()[0], d.fronts()[1]
	// The other machine has work of its own, and connections to all servers.
	own := &load{d: d, addrs: []string{b}, method: "POST", path: "/issue/", body: 300, rate: 45, timeout: 6 * time.Second}
	ownCtx, ownCancel := context.WithTimeout(ctx, 3*time.Second)
	defer ownCancel()
	g.Go(func() { own.run(ownCtx) })
	time.Sleep(2500 * time.Millisecond)
	l := &load{d: d, addrs: []string{a}, method: "POST", path: "/issue/", body: 300, rate: 40, timeout: 6 * time.Second, giveUp: func(n int) time.Duration {
		if n%10 < 3 {
			return 250 * time.Millisecond
		}
		return 0
	}}
	if trouble {
		ip := d.entries[0].ip
		d.rec.add("%s is cut off from all servers: its connections are reset, new ones are refused", d.entries[0].name)
		for _, s := range servers {
			s.cut(ip)
		}
	}
	g.Go(func() { l.run(ctx) })
	time.Sleep(5 * time.Second)
	cancel()
	g.Wait()
	by := map[string]arrival{}
	for _, s := range servers {
		for _, x := range s.list() {
			by[x.id] = x
		}
	}
	late, left := 0, 0
	for _, x := range l.results() {
		if x.left == 0 {
			continue
		}
		left++
		if y, ok := by[x.id]; ok && y.at > x.left+500*time.Millisecond {
			late++
			d.rec.add("%s: its client left at %.3f, it reaches a server from %s at %.3f, and ends there with %d", x.id, x.left.Seconds(), y.via, y.at.Seconds(), y.status)
		}
	}
	d.rec.add("other machine: %v; this machine: %v", tally(own.results()), tally(l.results()))
	for _, x := range l.results() {
		if x.status == 503 {
			d.rec.add("one refusal: %s", x.err)
			break
		}
	}
	d.rec.add("clients that left: %d; requests that reached a server over half a second later: %d", left, late)
	return late > 5, nil
}

// cut closes the listener of a server and resets the connections from an address.
func (s *server) cut(ip string) {
	_ = s.lis.Close()
	s.reset(ip)
}
