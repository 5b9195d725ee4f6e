package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["stuck"] = stuck }

// stuck: some servers are slow for a while, and the operator lowers the timeout of a route.
func stuck(d *deployment, trouble bool) (verdict, error) {
	const (
		normal = 360 * time.Millisecond
		slowX  = 5.3
		slowS  = 9 * time.Second
		rate   = 30
	)
	rs := &runs{}
	if err := d.start(3, 3); err != nil {
		return verdict{}, err
	}
	var slow atomic.Bool
	// Ten servers; four of them, share 0.4, are those that turn slow.
	for i := range 10 {
		s := d.newServer(fmt.Sprintf("i-%08x", 0x7f3a9100+i), "huvo11a", i+1, i%3, rs)
		s.work = func(*http.Request) time.Duration {
			if slow.Load() && i < 4 {
				return time.Duration(slowX * float64(normal))
			}
			return normal
		}
		if err := s.start(i); err != nil {
			return verdict{}, err
		}
		defer s.end()
	}
	first := route{"/lohu930/", "idempotent", "huvo11a", "300ms", "2000ms", false}
	added := route{"/pufi791/", "idempotent", "huvo11a", "300ms", "2000ms", false}
	if err := d.order("/api/Config.Put", manifest(1, []string{"huvo11a"}, first), 0); err != nil {
		return verdict{}, err
	}
	if err := d.waitServed("/lohu930/1", 20*time.Second); err != nil {
		return verdict{}, err
	}
	if err := d.order("/api/Config.Put", manifest(2, []string{"huvo11a"}, first, added), 1); err != nil {
		return verdict{}, err
	}
	if err := d.waitServed("/pufi791/1", 20*time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(4500 * time.Millisecond)
	var mu sync.Mutex
	var served, sent map[string]int
	play := func(limit time.Duration) {
		mu.Lock()
		served, sent = map[string]int{}, map[string]int{}
		mu.Unlock()
		var g sync.WaitGroup
		from := time.Now()
		for i := 0; time.Since(from) < limit; i++ {
			g.Go(func() {
				p := []string{"/lohu930/", "/pufi791/"}[i%2]
				ok := d.once(d.entries[i/2%3], http.MethodGet, p+"2", "", nil, 2*time.Second).status == http.StatusOK
				mu.Lock()
				defer mu.Unlock()
				sent[p]++
				if ok {
					served[p]++
				}
			})
			time.Sleep(time.Until(from.Add(time.Duration(i+1) * time.Second / (2 * rate))))
		}
		g.Wait()
		d.rec.add("of the last requests were served: %d of %d on the first route, %d of %d on the added one", served["/lohu930/"], sent["/lohu930/"], served["/pufi791/"], sent["/pufi791/"])
	}
	play(4 * time.Second)
	if trouble {
		d.rec.add("four of ten servers work %.1f times as long for %v", slowX, slowS)
		slow.Store(true)
		time.AfterFunc(slowS, func() {
			d.rec.add("the servers work as before")
			slow.Store(false)
		})
	}
	time.AfterFunc(slowS-time.Second, func() {
		added.timeout = "600ms"
		_ = d.order("/api/Config.Put", manifest(3, []string{"huvo11a"}, first, added), 2)
	})
	play(slowS + 500*time.Millisecond)
	// After contact, 4 s, and config_apply, 2.5 s, nothing disturbs any more.
	play(8 * time.Second)
	play(20 * time.Second)
	a, b := float64(served["/lohu930/"])/float64(sent["/lohu930/"]), float64(served["/pufi791/"])/float64(sent["/pufi791/"])
	text := fmt.Sprintf("from 8 to 28 s after the servers are as before, %d of %d requests are served on the first route, %d of %d on the one added later", served["/lohu930/"], sent["/lohu930/"], served["/pufi791/"], sent["/pufi791/"])
	return verdict{b < a/4, text}, nil
}
