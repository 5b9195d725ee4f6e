package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Not a case of its own: more than five were found.
func init() { cases["grace"] = grace }

// grace: a planned stop where the platform gives 10 s, and requests of clients that still use
// the machine.
func grace(d *deployment, trouble bool) (verdict, error) {
	for k, v := range map[string]string{
		"ack_timeout": "5000ms", "catch_up": "6s", "drain": "3000ms", "grace": "10s", "config_apply": "3000ms",
		"retry_budget_burst": "410", "cold_burst": "10",
	} {
		d.b[k] = v
	}
	const grace = 10 * time.Second
	d.memoryMB = 184
	rs := &runs{}
	if err := d.start(3, 3); err != nil {
		return verdict{}, err
	}
	for i := range 6 {
		s := d.newServer(fmt.Sprintf("i-%08x", 0x7f3a9100+i), "archive1", i+1, i%3, rs)
		s.slots = 3
		s.work = func(r *http.Request) time.Duration {
			if r.URL.Path == "/lohu930/long" {
				return 5500 * time.Millisecond
			}
			return 300 * time.Millisecond
		}
		if err := s.start(i); err != nil {
			return verdict{}, err
		}
		defer s.end()
	}
	if err := d.order("/api/Config.Put", manifest(1, []string{"archive1"},
		route{"/lohu930/", "idempotent", "archive1", "1000ms", "8000ms", false}), 0); err != nil {
		return verdict{}, err
	}
	if err := d.waitServed("/lohu930/1", 20*time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(4500 * time.Millisecond)
	m := d.entries[0]
	stopped := time.Now()
	if trouble {
		d.rec.add("platform: SIGTERM to %s", m.name)
		if err := m.signal(syscall.SIGTERM); err != nil {
			return verdict{}, err
		}
		kill := time.AfterFunc(grace, func() {
			d.rec.add("platform: grace is over, SIGKILL to %s", m.name)
			_ = m.signal(syscall.SIGKILL)
		})
		defer kill.Stop()
	}
	var g sync.WaitGroup
	var mu sync.Mutex
	var seen []answer
	for i := range 6 {
		g.Go(func() {
			time.Sleep(time.Until(stopped.Add(3900*time.Millisecond + time.Duration(i)*50*time.Millisecond)))
			a := d.once(m, http.MethodGet, "/lohu930/long", "", nil, 8*time.Second)
			mu.Lock()
			defer mu.Unlock()
			seen = append(seen, a)
		})
	}
	g.Wait()
	ran := map[string]bool{}
	for _, r := range rs.all() {
		ran[r.id] = true
	}
	cut := 0
	for _, a := range seen {
		if a.status == 0 && ran[a.id] && a.took < 7900*time.Millisecond {
			cut++
		}
	}
	text := fmt.Sprintf("of %d requests sent 3.9 to 4.2 s after SIGTERM, %d were passed on to a server and their connection ended without an answer, before the deadline and while the server worked", len(seen), cut)
	return verdict{cut > 0, text}, nil
}
