package main

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// picky is a listener that resets connections from one address, as a cut does whose connections are reset.
type picky struct {
	net.Listener
	from atomic.Pointer[string]
}

// Accept accepts the connections of all others.
func (l *picky) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		ip := l.from.Load()
		h, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		if ip == nil || h != *ip {
			return c, nil
		}
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// resets cuts one machine off from all servers: its connections to them are reset, those that are open and those that it opens.
func resets(d *deployment, trouble bool) (broken bool, err error) {
	const (
		contact = 3 * time.Second
		length  = 9 * time.Second
	)
	for _, x := range d.entries {
		x.bindSource = true
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	op := newClient(2)
	routes := []route{{Prefix: "/ask/", Service: "svc", Kind: "idempotent", LatencyMS: 400, TimeoutMS: 3000, Attempts: 2}}
	var servers []*server
	for n := range 12 {
		s := d.newServer(n, "svc", zones[n%len(zones)], 3, 40*time.Millisecond)
		s.conns, s.picky = map[net.Conn]bool{}, &picky{}
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
	time.Sleep(contact)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g sync.WaitGroup
	l := &load{d: d, addrs: d.fronts(), method: "GET", path: "/ask/", rate: 60, timeout: 3 * time.Second}
	g.Go(func() { l.run(ctx) })
	time.Sleep(2 * time.Second)
	ip := d.entries[0].ip
	from := d.rec.now()
	if trouble {
		d.rec.add("%s is cut off from all servers: its connections to them are reset", d.entries[0].name)
		for _, s := range servers {
			s.picky.from.Store(&ip)
			s.reset(ip)
		}
	}
	time.Sleep(length)
	to := d.rec.now()
	if trouble {
		d.rec.add("the cut ends")
		for _, s := range servers {
			s.picky.from.Store(nil)
		}
	}
	time.Sleep(3 * time.Second)
	cancel()
	g.Wait()
	tries, ok, all := map[string]int{}, map[string]int{}, 0
	for _, x := range l.results() {
		if x.at < from+contact || x.at > to-500*time.Millisecond {
			continue
		}
		all++
		tries[x.addr]++
		if x.status == 200 {
			ok[x.addr]++
		} else if x.addr == d.fronts()[0] {
			d.rec.add("%s, sent at %.3f: %d %s", x.id, x.at.Seconds(), x.status, x.err)
		}
	}
	here, others, othersOK := d.fronts()[0], 0, 0
	for _, a := range d.fronts() {
		d.rec.add("%s: first tries from contact after the cut began to its end: %d, served %d", a, tries[a], ok[a])
		if a != here {
			others, othersOK = others+tries[a], othersOK+ok[a]
		}
	}
	failed := tries[here] - ok[here]
	share, otherShare := float64(ok[here])/float64(tries[here]), float64(othersOK)/float64(others)
	d.rec.add("served at the machine that is cut off: %.2f, at the others: %.2f; failed there: %d, allowed are %d", share, otherShare, failed, 10+all/50)
	return share < otherShare*2/3 && failed > 10+all/50, nil
}

// reset resets the open connections of a server from an address.
func (s *server) reset(ip string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if h, _, _ := net.SplitHostPort(c.RemoteAddr().String()); h == ip {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}
}
