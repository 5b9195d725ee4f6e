package main

import (
	"cmp"
	"fmt"
	"net/http"
	"os"
	"time"
)

func init() { cases["foreign"] = foreign }

// foreign: another writer's check-in, complete, of a service that no manifest names, with an id
// in the usual form host:port.
func foreign(d *deployment, trouble bool) (verdict, error) {
	rs := &runs{}
	if err := d.start(3, 3); err != nil {
		return verdict{}, err
	}
	for i := range 6 {
		s := d.newServer(fmt.Sprintf("i-%08x", 0x7f3a9100+i), []string{"huvo11a", "wuno96b"}[i/3], i+1, i%3, rs)
		if err := s.start(i); err != nil {
			return verdict{}, err
		}
		defer s.end()
	}
	services := []string{"huvo11a", "wuno96b"}
	old := route{"/lohu930/", "idempotent", "huvo11a", "300ms", "2000ms", false}
	if err := d.order("/api/Config.Put", manifest(1, services, old), 0); err != nil {
		return verdict{}, err
	}
	if err := d.waitServed("/lohu930/1", 20*time.Second); err != nil {
		return verdict{}, err
	}
	// All machines have been in touch for contact when the change comes.
	stop := make(chan struct{})
	defer close(stop)
	time.Sleep(4500 * time.Millisecond)
	// ID replaces the other writer's id, for trials.
	id := cmp.Or(os.Getenv("ID"), addr(d.ip(5, 1), 9100))
	began := time.Now()
	// CALL replaces the check-ins by one call without a body, for trials.
	if call := os.Getenv("CALL"); call != "" {
		status, text := post(addr(d.replicas[0].ip, controlPort), call, nil, time.Second)
		d.rec.add("one call %s: status %d %s", call, status, text)
		time.Sleep(time.Second)
	} else if trouble {
		go func() {
			for n := 1; ; n++ {
				b := fmt.Appendf(nil, `{"address":"%s","born":%d,"info":{"service":"node-exporter","version":"v1","zone":"%s","slots":1},"status":{"state":"ready","sequence":%d,"cold_remaining":"0ms"}}`,
					addr(d.ip(5, 1), 9100), time.Now().UnixMilli()-int64(n)*1500, zones[0][0], n)
				status, text := post(addr(d.replicas[0].ip, controlPort), "/api/Instances.Heartbeat/"+id, b, time.Second)
				d.rec.add("another writer: check-in as %s of service node-exporter: status %d %s", id, status, text)
				select {
				case <-stop:
					return
				case <-time.After(1500 * time.Millisecond):
				}
			}
		}()
		time.Sleep(time.Second)
	}
	moved := old
	moved.service = "wuno96b"
	if err := d.order("/api/Config.Put", manifest(2, services, moved), 1); err != nil {
		return verdict{}, err
	}
	confirmed := time.Now()
	d.rec.add("r2 is confirmed: /lohu930/ goes to wuno96b")
	// config_apply is 2.5 s.
	time.Sleep(3 * time.Second)
	ids := map[string]bool{}
	sent := 0
	for time.Since(confirmed) < 8*time.Second {
		for _, m := range d.entries {
			a := d.once(m, http.MethodGet, "/lohu930/2", "", nil, 2*time.Second)
			ids[a.id] = true
			sent++
		}
		time.Sleep(100 * time.Millisecond)
	}
	stale := 0
	for _, r := range rs.all() {
		if ids[r.id] && r.service == "huvo11a" {
			stale++
		}
	}
	if os.Getenv("LONG") != "" {
		// LONG shows, in the record only, what becomes of the deployment after a minute.
		time.Sleep(time.Until(began.Add(65 * time.Second)))
		served := 0
		for range 10 {
			for _, m := range d.entries {
				if d.once(m, http.MethodGet, "/lohu930/2", "", nil, 2*time.Second).status == http.StatusOK {
					served++
				}
			}
			time.Sleep(200 * time.Millisecond)
		}
		d.rec.add("65 s after the first foreign check-in %d of %d requests are served", served, 10*len(d.entries))
		fmt.Printf("65 s after the first foreign check-in %d of %d requests are served\n", served, 10*len(d.entries))
	}
	text := fmt.Sprintf("of %d requests sent 3 to 8 s after the confirmation of r2, %d ran at huvo11a, the service that only r1 allows", sent, stale)
	return verdict{stale > 0, text}, nil
}
