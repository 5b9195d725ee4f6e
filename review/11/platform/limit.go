package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"
)

// leader returns the replica that leads, by the metrics that the programs serve.
func (d *deployment) leader() *node {
	c := newClient(1)
	for _, x := range d.states {
		resp, err := c.Get(fmt.Sprintf("http://%s:9464/metrics", x.ip))
		if err != nil {
			continue
		}
		var m struct {
			Eelplat struct {
				Role string `json:"role"`
			} `json:"eelplat"`
		}
		err = json.NewDecoder(resp.Body).Decode(&m)
		_ = resp.Body.Close()
		if err == nil && m.Eelplat.Role == "leader" {
			return x
		}
	}
	return nil
}

// limited has a server name a limit, and kills the leading core machine once.
func limited(d *deployment, trouble bool, perSecond float64, rate float64) (broken bool, err error) {
	const contact = 3 * time.Second
	if err := d.startAll(); err != nil {
		return false, err
	}
	op := newClient(2)
	routes := []route{{Prefix: "/ask/", Service: "svc", Kind: "idempotent", LatencyMS: 400, TimeoutMS: 3000, Attempts: 2}}
	s := d.newServer(0, "svc", zones[0], 40, 20*time.Millisecond)
	if err := s.start(); err != nil {
		return false, err
	}
	defer s.end()
	if err := d.order(op, "/api/Config.Put", manifest(7, routes, []service{{"svc"}}), 20*time.Second); err != nil {
		return false, err
	}
	if err := waitHeard(s); err != nil {
		return false, err
	}
	if err := d.waitServed("/ask/"); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := &load{d: d, addrs: d.fronts(), method: "GET", path: "/ask/", rate: rate, timeout: 2500 * time.Millisecond}
	var g sync.WaitGroup
	g.Go(func() { l.run(ctx) })
	time.Sleep(time.Second)
	s.mu.Lock()
	s.limit = fmt.Sprint(perSecond)
	s.mu.Unlock()
	d.rec.add("the server names its limit, %g requests a second", perSecond)
	time.Sleep(contact + 4*time.Second)
	if trouble {
		x := d.leader()
		if x == nil {
			return false, errors.New("no core machine says that it leads")
		}
		d.rec.add("the core machine that leads, %s, is killed and started again", x.name)
		x.kill()
		time.Sleep(300 * time.Millisecond)
		if err := d.start(x); err != nil {
			return false, err
		}
	}
	time.Sleep(8 * time.Second)
	cancel()
	g.Wait()
	list := s.list()
	most, at := 0, time.Duration(0)
	for i, a := range list {
		if a.at < s.limitAt+contact {
			continue
		}
		n := 0
		for _, b := range list[i:] {
			if b.at <= a.at+4*time.Second {
				n++
			}
		}
		if n > most {
			most, at = n, a.at
		}
	}
	per := map[int]int{}
	for _, a := range list {
		per[int(a.at.Seconds()*2)]++
	}
	for k := int(s.limitAt.Seconds() * 2); k < int(d.rec.now().Seconds()*2); k++ {
		d.rec.add("arrivals in half a second from %.1f: %d", float64(k)/2, per[k])
	}
	bound := 1.5*4*perSecond + 5
	d.rec.add("answers: %v", tally(l.results()))
	d.rec.add("most requests in 4 s: %d, from %.3f; the bound is %.1f", most, at.Seconds(), bound)
	return float64(most) > bound, nil
}
