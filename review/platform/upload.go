package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// watchMemory is the platform: a process that uses more than memory_mb is killed.
func (d *deployment) watchMemory(m *machine, peak *atomic.Int64, killed *atomic.Bool, stop chan struct{}) {
	page := int64(os.Getpagesize())
	for {
		select {
		case <-stop:
			return
		case <-m.ended:
			return
		case <-time.After(5 * time.Millisecond):
		}
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", m.cmd.Process.Pid))
		f := strings.Fields(string(b))
		if err != nil || len(f) < 2 {
			continue
		}
		n, _ := strconv.ParseInt(f[1], 10, 64)
		mb := n * page >> 20
		if mb > peak.Load() {
			peak.Store(mb)
		}
		if mb > int64(d.memoryMB) {
			d.rec.add("platform: %s uses %d MB, more than memory_mb = %d, and is killed", m.name, mb, d.memoryMB)
			killed.Store(true)
			_ = m.signal(syscall.SIGKILL)
			return
		}
	}
}

// Not a case of its own: more than five were found.
func init() { cases["upload"] = upload }

// upload: clients send bodies within max_body_bytes while other requests are in progress.
func upload(d *deployment, trouble bool) (verdict, error) {
	rs := &runs{}
	if err := d.start(3, 3); err != nil {
		return verdict{}, err
	}
	for i := range 6 {
		s := d.newServer(fmt.Sprintf("i-%08x", 0x7f3a9100+i), "huvo11a", i+1, i%3, rs)
		s.work = func(r *http.Request) time.Duration {
			if strings.HasPrefix(r.URL.Path, "/lohu930/") {
				return 360 * time.Millisecond
			}
			return 480 * time.Millisecond
		}
		if err := s.start(i); err != nil {
			return verdict{}, err
		}
		defer s.end()
	}
	if err := d.order("/api/Config.Put", manifest(1, []string{"huvo11a"},
		route{"/lohu930/", "idempotent", "huvo11a", "300ms", "2000ms", false},
		route{"/pufi791/", "non_idempotent", "huvo11a", "400ms", "2500ms", false}), 0); err != nil {
		return verdict{}, err
	}
	if err := d.waitServed("/lohu930/1", 20*time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(4500 * time.Millisecond)
	m := d.entries[0]
	var peak atomic.Int64
	var killed atomic.Bool
	stop := make(chan struct{})
	go d.watchMemory(m, &peak, &killed, stop)
	var g sync.WaitGroup
	var mu sync.Mutex
	var seen []answer
	for range clients {
		g.Go(func() {
			c, err := dial(addr(m.ip, frontPort))
			if err != nil {
				return
			}
			defer c.Close()
			for {
				select {
				case <-stop:
					return
				default:
				}
				a := c.send(d, m, http.MethodGet, "/lohu930/2", "", nil, 2*time.Second)
				mu.Lock()
				seen = append(seen, a)
				mu.Unlock()
				if a.status == 0 {
					return
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	if trouble {
		body := make([]byte, 60<<20)
		var u sync.WaitGroup
		for range uploads {
			u.Go(func() { d.once(m, http.MethodPost, "/pufi791/3", "", body, 2500*time.Millisecond) })
		}
		u.Wait()
	}
	time.Sleep(2 * time.Second)
	close(stop)
	g.Wait()
	ran := map[string]bool{}
	for _, r := range rs.all() {
		ran[r.id] = true
	}
	lost := 0
	for _, a := range seen {
		if a.status == 0 && ran[a.id] {
			lost++
		}
	}
	text := fmt.Sprintf("%s used at most %d MB (killed: %v); %d requests of other clients on kept connections had been passed on to sound servers and got no answer", m.name, peak.Load(), killed.Load(), lost)
	return verdict{lost > 3, text}, nil
}

const (
	// clients is the number of clients that send small requests.
	clients = 16
	// uploads is the number of bodies that are sent at the same time.
	uploads = 4
)
