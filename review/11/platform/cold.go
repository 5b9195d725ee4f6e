package main

import (
	"context"
	"sync"
	"time"
)

// Bounds of the manifest and of the settings: a cold server gets at most cold_per_s x cold_multiplier + cold_burst requests
// in one second.
const coldBound = 2.6*1.5 + 5

// cold starts a server during traffic, cold. Shortly before its second check-in it becomes cold again.
func cold(d *deployment, trouble bool) (broken bool, err error) {
	if err := d.startAll(); err != nil {
		return false, err
	}
	op := newClient(2)
	routes := []route{
		{Prefix: "/ask/", Service: "svc", Kind: "idempotent", LatencyMS: 400, TimeoutMS: 3000, Attempts: 2},
		{Prefix: "/issue/", Service: "svc", Kind: "non_idempotent", LatencyMS: 400, TimeoutMS: 3000, Attempts: 2},
	}
	first := d.newServer(0, "svc", zones[0], 6, 40*time.Millisecond)
	if err := first.start(); err != nil {
		return false, err
	}
	defer first.end()
	if err := d.order(op, "/api/Config.Put", manifest(7, routes, []service{{"svc"}}), 20*time.Second); err != nil {
		return false, err
	}
	if err := waitHeard(first); err != nil {
		return false, err
	}
	if err := d.waitServed("/ask/"); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 16*time.Second)
	defer cancel()
	l := &load{d: d, addrs: d.fronts(), method: "POST", path: "/issue/", body: 300, rate: 90, timeout: 2500 * time.Millisecond}
	var g sync.WaitGroup
	g.Go(func() { l.run(ctx) })
	time.Sleep(3 * time.Second)
	second := d.newServer(1, "svc", zones[0], 6, 40*time.Millisecond)
	second.crash = 32
	second.setCold(3 * time.Second)
	second.before = func(sequence int) {
		if trouble && sequence == 2 {
			second.setCold(3*time.Second - 30*time.Millisecond)
			d.rec.add("server %s: became cold again 30 ms ago, for 3 s", second.id)
		}
	}
	if err := second.start(); err != nil {
		return false, err
	}
	defer second.end()
	g.Wait()
	d.rec.add("answers to clients: %v", tally(l.results()))
	sentAt := map[string]sent{}
	for _, x := range l.results() {
		sentAt[x.id] = x
	}
	for _, a := range second.list() {
		d.rec.add("server %s: %s arrives, sent at %.4f, cold for %d ms more", second.id, a.id, sentAt[a.id].at.Seconds(), a.cold.Milliseconds())
		x := sentAt[a.id]
		if a.cold > 0 && x.status != 200 {
			d.rec.add("  the client of %s gets %d %s %s", x.id, x.status, x.err, map[bool]string{true: "signed", false: "unsigned"}[x.signed])
		}
	}
	most := 0
	list := second.list()
	for i, a := range list {
		n := 0
		for _, b := range list[i:] {
			if b.at <= a.at+time.Second && b.cold > 0 {
				n++
			}
		}
		most = max(most, n)
	}
	d.rec.add("most requests that were sent to the cold server and arrived inside one second: %d; the bound is %.1f; %d requests altogether", most, coldBound, len(list))
	return float64(most) > coldBound, nil
}
