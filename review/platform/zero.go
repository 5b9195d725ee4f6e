package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"
)

func init() { cases["zero"] = zero }

// zero: the first manifest has the number 0 and is delivered again after the second.
func zero(d *deployment, trouble bool) (verdict, error) {
	rs := &runs{}
	if err := d.start(3, 3); err != nil {
		return verdict{}, err
	}
	services := []string{"huvo11a", "wuno96b"}
	for i := range 6 {
		s := d.newServer(fmt.Sprintf("i-%08x", 0x7f3a9100+i), services[i/3], i+1, i%3, rs)
		if err := s.start(i); err != nil {
			return verdict{}, err
		}
		defer s.end()
	}
	old := route{"/lohu930/", "idempotent", "huvo11a", "300ms", "2000ms", false}
	first := manifest(0, services, old)
	if err := d.order("/api/Config.Put", first, 0); err != nil {
		return verdict{}, err
	}
	if err := d.waitServed("/lohu930/1", 20*time.Second); err != nil {
		return verdict{}, err
	}
	moved := old
	moved.service = "wuno96b"
	second := manifest(1, services, moved)
	if err := d.order("/api/Config.Put", second, 1); err != nil {
		return verdict{}, err
	}
	time.Sleep(4500 * time.Millisecond)
	if trouble {
		status, text := post(addr(d.replicas[2].ip, controlPort), "/api/Config.Put", first, time.Second)
		d.rec.add("r0 is delivered again, to %s: status %d %s", d.replicas[2].name, status, text)
	}
	time.Sleep(3 * time.Second)
	ids := map[string]bool{}
	for range 10 {
		for _, m := range d.entries {
			ids[d.once(m, http.MethodGet, "/lohu930/2", "", nil, 2*time.Second).id] = true
		}
		time.Sleep(100 * time.Millisecond)
	}
	stale := 0
	for _, r := range rs.all() {
		if ids[r.id] && r.service == "huvo11a" {
			stale++
		}
	}
	older := 0
	for _, m := range d.replicas {
		r, err := freshClient(time.Second).Get("http://" + addr(m.ip, controlPort) + "/api/Config.Get")
		if err != nil {
			d.rec.add("operator: read of the manifest at %s: %v", m.name, err)
			continue
		}
		b, _ := io.ReadAll(r.Body)
		r.Body.Close()
		d.rec.add("operator: read of the manifest at %s: status %d, r1 %v, r0 %v", m.name, r.StatusCode, bytes.Equal(b, second), bytes.Equal(b, first))
		if r.StatusCode == http.StatusOK && bytes.Equal(b, first) {
			older++
		}
	}
	text := fmt.Sprintf("after r1 was confirmed, %d of %d requests ran at the service that only r0 allows, and %d of %d daemons read back r0", stale, len(ids), older, len(d.replicas))
	return verdict{stale > 0 || older > 0, text}, nil
}
