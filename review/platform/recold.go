package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Not a case of its own: more than five were found.
func init() { cases["recold"] = recold }

// recold: a server that has just started becomes cold again while it is still cold.
func recold(d *deployment, trouble bool) (verdict, error) {
	const (
		coldStart  = 3 * time.Second
		coldPerS   = 7.4
		multiplier = 1.5
		burst      = 5
	)
	rs := &runs{}
	if err := d.start(3, 3); err != nil {
		return verdict{}, err
	}
	for i := range 3 {
		s := d.newServer(fmt.Sprintf("i-%08x", 0x7f3a9100+i), "huvo11a", i+1, i%3, rs)
		if err := s.start(i); err != nil {
			return verdict{}, err
		}
		defer s.end()
	}
	if err := d.order("/api/Config.Put", manifest(1, []string{"huvo11a"},
		route{"/lohu930/", "idempotent", "huvo11a", "300ms", "2000ms", false}), 0); err != nil {
		return verdict{}, err
	}
	if err := d.waitServed("/lohu930/1", 20*time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(4500 * time.Millisecond)
	stop := make(chan struct{})
	var g sync.WaitGroup
	for i := range 100 {
		g.Go(func() {
			c, err := dial(addr(d.entries[i%3].ip, frontPort))
			if err != nil {
				return
			}
			defer c.Close()
			t := time.NewTicker(time.Second)
			defer t.Stop()
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			for {
				select {
				case <-stop:
					return
				case <-t.C:
					c.send(d, d.entries[i%3], http.MethodGet, "/lohu930/2", "", nil, 2*time.Second)
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	x := d.newServer("i-8c000000", "huvo11a", 4, 0, rs)
	var coldUntil atomic.Int64
	coldUntil.Store(time.Now().Add(coldStart).UnixNano())
	x.coldNow = func() time.Duration { return max(0, time.Until(time.Unix(0, coldUntil.Load()))) }
	if err := x.start(0); err != nil {
		return verdict{}, err
	}
	defer x.end()
	from := time.Now()
	if trouble {
		time.Sleep(2600 * time.Millisecond)
		coldUntil.Store(time.Now().Add(coldStart).UnixNano())
		d.rec.add("server %s becomes cold again for %v", x.id, coldStart)
	}
	time.Sleep(time.Until(from.Add(9 * time.Second)))
	close(stop)
	g.Wait()
	end := time.Unix(0, coldUntil.Load())
	var arrivals []time.Time
	later := 0
	for _, r := range rs.all() {
		switch {
		case r.server != x.id:
		case r.at.Before(end):
			arrivals = append(arrivals, r.at)
		default:
			later++
		}
	}
	most := 0
	for i := range arrivals {
		n := 0
		for _, t := range arrivals[i:] {
			if t.Sub(arrivals[i]) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	bound := coldPerS*multiplier + burst
	text := fmt.Sprintf("the cold server got at most %d requests in a second, the bound is %.1f; %d after it was warm", most, bound, later)
	return verdict{float64(most) > bound, text}, nil
}
