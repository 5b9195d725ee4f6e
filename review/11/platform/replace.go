package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// replaced removes a machine of the core for good, and long after its successor has caught up another one. At no time is more
// than one machine lost.
func replaced(d *deployment, trouble bool) (broken bool, err error) {
	const (
		catchUp  = 4 * time.Second
		recovery = 15 * time.Second
	)
	if err := d.startAll(); err != nil {
		return false, err
	}
	op := newClient(2)
	routes := []route{{Prefix: "/ask/", Service: "svc", Kind: "idempotent", LatencyMS: 400, TimeoutMS: 3000, Attempts: 2}}
	var servers []*server
	for n := range 3 {
		s := d.newServer(n, "svc", zones[n], 4, 30*time.Millisecond)
		if err := s.start(); err != nil {
			return false, err
		}
		defer s.end()
		servers = append(servers, s)
	}
	put := func(v int, limit time.Duration) error {
		err := d.order(op, "/api/Config.Put", manifest(v, routes, []service{{"svc"}}), limit)
		d.rec.add("operator: r%d acknowledged: %v %v", v, err == nil, err)
		return err
	}
	if err := put(7, 20*time.Second); err != nil {
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
	l := &load{d: d, addrs: d.fronts(), method: "GET", path: "/ask/", rate: 20, timeout: 2500 * time.Millisecond}
	var g sync.WaitGroup
	g.Go(func() { l.run(ctx) })
	time.Sleep(2 * time.Second)
	newest := 7
	replace := func(i int) error {
		old := d.states[i]
		n := len(d.all)
		x := d.newNode("state", 1, n)
		x.zone, x.first = old.zone, false
		d.rec.add("%s at %s is removed for good", old.name, old.ip)
		old.kill()
		time.Sleep(time.Second)
		d.mu.Lock()
		d.states[i] = x
		d.all = append(d.all, x)
		d.mu.Unlock()
		d.rec.add("%s starts at %s with an empty disk, in its place", x.name, x.ip)
		return d.start(x)
	}
	// wait waits for some multiple of catch_up, and sends a change.
	wait := func() {
		time.Sleep(3 * catchUp)
		v := newest + 1
		if put(v, 4*time.Second) == nil {
			newest = v
		}
	}
	follower := func() int {
		lead := d.leader()
		for i, x := range d.states {
			if x != lead {
				return i
			}
		}
		return 0
	}
	if trouble {
		i := follower()
		if err := replace(i); err != nil {
			return false, err
		}
		wait()
		if err := replace(i); err != nil {
			return false, err
		}
	} else {
		wait()
	}
	time.Sleep(recovery + catchUp)
	_ = put(newest+1, 4*time.Second)
	d.rec.add("the operator reads the manifest back, at all daemons, for 10 s")
	got, status := 0, map[string]int{}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && got == 0; time.Sleep(100 * time.Millisecond) {
		for _, a := range d.controls() {
			v, st, err := read(context.Background(), op, a)
			if err == nil && st == 200 {
				got = v
			}
			status[fmt.Sprintf("%d", st)]++
		}
	}
	d.rec.add("answers by status (0: none): %v; read back: r%d; the newest acknowledged: r%d", status, got, newest)
	time.Sleep(35 * time.Second)
	cancel()
	g.Wait()
	per, ok := map[int]int{}, map[int]int{}
	list := l.results()
	for _, x := range list {
		k := int(x.at.Seconds()) / 5
		per[k]++
		if x.status == 200 {
			ok[k]++
		}
	}
	for k := 0; k < int(d.rec.now().Seconds())/5; k++ {
		if per[k] > 0 {
			d.rec.add("requests sent from %d to %d s: %d, served %d", 5*k, 5*k+5, per[k], ok[k])
		}
	}
	if n := len(list); n > 0 {
		x := list[n-1]
		d.rec.add("the last request: %s, %d %s", x.id, x.status, x.err)
	}
	return got < newest, nil
}
