package main

import (
	"fmt"
	"net/http"
	"time"
)

// Not a case of its own: of the same cause as stuck.
func init() { cases["latency"] = latency }

// latency: a valid manifest adds a route whose target_latency is above its timeout.
func latency(d *deployment, trouble bool) (verdict, error) {
	rs := &runs{}
	if err := d.start(3, 3); err != nil {
		return verdict{}, err
	}
	for i := range 6 {
		s := d.newServer(fmt.Sprintf("i-%08x", 0x7f3a9100+i), "huvo11a", i+1, i%3, rs)
		s.work = func(*http.Request) time.Duration { return 100 * time.Millisecond }
		if err := s.start(i); err != nil {
			return verdict{}, err
		}
		defer s.end()
	}
	first := route{"/lohu930/", "idempotent", "huvo11a", "1000ms", "2000ms", true}
	if err := d.order("/api/Config.Put", manifest(1, []string{"huvo11a"}, first), 0); err != nil {
		return verdict{}, err
	}
	if err := d.waitServed("/lohu930/1", 20*time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(4500 * time.Millisecond)
	added := route{"/pufi791/", "idempotent", "huvo11a", "1500ms", "2000ms", true}
	if trouble {
		added.latency = "2500ms"
	}
	if err := d.order("/api/Config.Put", manifest(2, []string{"huvo11a"}, first, added), 1); err != nil {
		return verdict{}, err
	}
	d.rec.add("r2 is confirmed: it adds /pufi791/ with target_latency %s and timeout %s", added.latency, added.timeout)
	// config_apply is 2.5 s, contact 4 s.
	time.Sleep(4500 * time.Millisecond)
	served, sent := map[string]int{}, map[string]int{}
	for i := range 40 {
		m := d.entries[i%3]
		for _, p := range []string{"/lohu930/", "/pufi791/"} {
			sent[p]++
			if d.once(m, http.MethodGet, p+"x", fmt.Sprint(i%10), nil, 8*time.Second).status == http.StatusOK {
				served[p]++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	a, b := float64(served["/lohu930/"])/float64(sent["/lohu930/"]), float64(served["/pufi791/"])/float64(sent["/pufi791/"])
	text := fmt.Sprintf("of %d requests each, %d were served on the first route and %d on the added one", sent["/pufi791/"], served["/lohu930/"], served["/pufi791/"])
	return verdict{b < a/4, text}, nil
}
