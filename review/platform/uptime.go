package main

import (
	"fmt"
	"net/http"
	"time"
)

// Not a case of its own: more than five were found.
func init() { cases["uptime"] = uptime }

// uptime: servers that have been up for 75 days leave.
func uptime(d *deployment, trouble bool) (verdict, error) {
	const (
		drain    = 2500 * time.Millisecond
		up       = 75 * 24 * time.Hour
		interval = 1500 * time.Millisecond
	)
	rs := &runs{}
	if err := d.start(3, 3); err != nil {
		return verdict{}, err
	}
	var list []*server
	for i := range 8 {
		s := d.newServer(fmt.Sprintf("i-%08x", 0x7f3a9100+i), "huvo11a", i+1, i%3, rs)
		if trouble {
			s.born -= up.Milliseconds()
			s.seq.Store(int64(up / interval))
			d.rec.add("server %s has been up for %v, its next sequence is %d", s.id, up, s.seq.Load()+1)
		}
		if err := s.start(i); err != nil {
			return verdict{}, err
		}
		defer s.end()
		list = append(list, s)
	}
	if err := d.order("/api/Config.Put", manifest(1, []string{"huvo11a"},
		route{"/lohu930/", "idempotent", "huvo11a", "300ms", "2000ms", false}), 0); err != nil {
		return verdict{}, err
	}
	if err := d.waitServed("/lohu930/1", 20*time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(4500 * time.Millisecond)
	// One of eight leaves (scale_in of the site: share 0.13).
	x := list[0]
	x.state.Store("draining")
	m := d.replicas[1]
	status, text := post(addr(m.ip, controlPort), "/api/Instances.Heartbeat/"+x.id, x.beatBody(), time.Second)
	acked := time.Now()
	d.rec.add("server %s says draining, to %s: status %d %s", x.id, m.name, status, text)
	if status != http.StatusOK {
		return verdict{}, fmt.Errorf("the draining of %s was not acknowledged", x.id)
	}
	// It goes on serving, and checking in as draining, for drain and a few seconds more.
	sent := map[string]time.Time{}
	for time.Since(acked) < 8*time.Second {
		for _, m := range d.entries {
			a := d.once(m, http.MethodGet, "/lohu930/2", "", nil, 2*time.Second)
			sent[a.id] = a.sent
		}
		time.Sleep(50 * time.Millisecond)
	}
	late := 0
	for _, r := range rs.all() {
		if r.server == x.id && r.at.After(acked.Add(drain)) {
			late++
		}
	}
	return verdict{late > 0, fmt.Sprintf("%d of %d requests reached the server later than 2.5 s after its draining was acknowledged", late, len(sent))}, nil
}
