package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["crossing"] = crossing }

// crossing: servers that leave by deregistering, each with a check-in that was sent before and
// arrives a moment after.
func crossing(d *deployment, trouble bool) (verdict, error) {
	const (
		leaving  = 4
		staying  = 28
		drain    = 2500 * time.Millisecond
		interval = 1500 * time.Millisecond
	)
	d.linkDelay = 35 * time.Millisecond
	rs := &runs{}
	if err := d.start(3, 3); err != nil {
		return verdict{}, err
	}
	for i := range staying {
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
	l, err := d.leader()
	if err != nil {
		return verdict{}, err
	}
	a := d.replicas[(l+1)%len(d.replicas)]
	d.rec.add("the core's leader is %s; the servers check in at %s", d.replicas[l].name, a.name)
	// New servers are cold for 3 s; the check-in that says the end of it is the one that is late.
	type leaver struct {
		*server
		late    []byte
		ackedAt time.Time
		status  int
	}
	var list []*leaver
	at := func(s *leaver) string { return addr(a.ip, controlPort) }
	checkIn := func(s *leaver, cold int64) {
		s.cold.Store(cold)
		status, text := post(at(s), "/api/Instances.Heartbeat/"+s.id, s.beatBody(), time.Second)
		d.rec.add("server %s: check-in with cold_remaining %d ms: status %d %s", s.id, cold, status, text)
	}
	for i := range leaving {
		s := &leaver{server: d.newServer(fmt.Sprintf("i-%08x", 0x8c000000+i), "huvo11a", staying+i+1, i%3, rs)}
		if err := s.listen(); err != nil {
			return verdict{}, err
		}
		defer s.end()
		list = append(list, s)
	}
	all := func(f func(*leaver)) {
		var g sync.WaitGroup
		for _, s := range list {
			g.Go(func() { f(s) })
		}
		g.Wait()
	}
	all(func(s *leaver) { checkIn(s, 3000) })
	time.Sleep(interval)
	all(func(s *leaver) { checkIn(s, 1500) })
	time.Sleep(interval)
	all(func(s *leaver) {
		if !trouble {
			checkIn(s, 0)
			return
		}
		s.cold.Store(0)
		s.late = s.beatBody()
		d.rec.add("server %s: check-in with cold_remaining 0 ms is sent and held up on its way", s.id)
	})
	time.Sleep(200 * time.Millisecond)
	all(func(s *leaver) {
		var g sync.WaitGroup
		if trouble {
			g.Go(func() {
				time.Sleep(lateBy)
				status, text := post(at(s), "/api/Instances.Heartbeat/"+s.id, s.late, time.Second)
				d.rec.add("server %s: the check-in that was held up arrives: status %d %s", s.id, status, text)
			})
		}
		body := fmt.Appendf(nil, `{"born":%d}`, s.born)
		var text string
		s.status, text = post(at(s), "/api/Instances.Deregister/"+s.id, body, time.Second)
		s.ackedAt = time.Now()
		d.rec.add("server %s: deregisters: status %d %s", s.id, s.status, text)
		g.Wait()
	})
	// The servers go on serving for drain and many seconds more.
	sent := map[string]time.Time{}
	for end := time.Now().Add(9 * time.Second); time.Now().Before(end); time.Sleep(40 * time.Millisecond) {
		for _, m := range d.entries {
			x := d.once(m, http.MethodGet, "/lohu930/2", "", nil, 2*time.Second)
			sent[x.id] = x.sent
		}
	}
	acked := map[string]time.Time{}
	for _, s := range list {
		if s.status == 200 {
			acked[s.id] = s.ackedAt
		}
	}
	late, back := 0, map[string]bool{}
	for _, r := range rs.all() {
		if t, ok := acked[r.server]; ok && r.at.After(t.Add(drain)) {
			late++
			back[r.server] = true
		}
	}
	text := fmt.Sprintf("%d requests reached %d of %d servers later than 2.5 s after their deregistration was acknowledged", late, len(back), len(acked))
	return verdict{late > 0, text}, nil
}

// lateBy is how long after the deregistration the check-in arrives.
const lateBy = 30 * time.Millisecond
