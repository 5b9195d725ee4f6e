package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["extra"] = extra }

// faulty is a server that serves as a sound one does, except that it sends additional bytes after
// some of its complete responses. They arrive late, where the next response is expected.
type faulty struct {
	*server
	// spoil reports whether additional bytes follow the response to a request.
	spoil func() bool
	bytes string
}

func (f *faulty) listenRaw() error {
	l, err := net.Listen("tcp", addr(f.ip, serverPort))
	if err != nil {
		return err
	}
	go func() {
		<-f.stop
		l.Close()
	}()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.serveConn(c)
		}
	}()
	f.d.rec.add("server %s of service %s starts at %s", f.id, f.service, addr(f.ip, serverPort))
	return nil
}

func (f *faulty) serveConn(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	late := false
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		id := q.Header.Get("Attempt-Id")
		if want := q.Header.Get("Target-Instance"); want != f.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", f.id, id)
			continue
		}
		if late {
			f.d.rec.add("server %s: additional bytes after an earlier response arrive now", f.id)
			fmt.Fprint(c, f.bytes)
		}
		f.runs.add(run{f.id, f.service, id, time.Now()})
		f.d.rec.add("run: server %s (%s) runs %s, %s %s", f.id, f.service, id, q.Method, q.URL.Path)
		time.Sleep(f.work(q))
		body := fmt.Sprintf("done %s by %s\n", id, f.id)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: sig.%s.%s\r\nContent-Length: %d\r\n\r\n%s", id, f.id, id, len(body), body)
		f.d.rec.add("run: server %s has answered %s", f.id, id)
		late = f.spoil()
	}
}

// extra: some servers send additional bytes after complete responses, which look like the response
// of a server that sheds.
func extra(d *deployment, trouble bool) (verdict, error) {
	const (
		servers = 10
		share   = 0.6
		x       = 0.03
		length  = 5 * time.Second
		rate    = 120
	)
	rs := &runs{}
	if err := d.start(3, 3); err != nil {
		return verdict{}, err
	}
	var on atomic.Bool
	for i := range servers {
		s := d.newServer(fmt.Sprintf("i-%08x", 0x7f3a9100+i), "huvo11a", i+1, i%3, rs)
		s.work = func(*http.Request) time.Duration { return 40 * time.Millisecond }
		f := &faulty{server: s, bytes: "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", spoil: func() bool {
			return on.Load() && float64(i) < share*servers && rand.Float64() < x
		}}
		if err := f.listenRaw(); err != nil {
			return verdict{}, err
		}
		go func() {
			at := i
			t := time.NewTicker(1500 * time.Millisecond)
			defer t.Stop()
			for {
				s.beat(&at)
				select {
				case <-t.C:
				case <-s.stop:
					return
				}
			}
		}()
		defer s.endBeats()
	}
	if err := d.order("/api/Config.Put", manifest(1, []string{"huvo11a"},
		route{"/lohu930/", "idempotent", "huvo11a", "300ms", "2000ms", false},
		route{"/pufi791/", "non_idempotent", "huvo11a", "400ms", "2500ms", false}), 0); err != nil {
		return verdict{}, err
	}
	if err := d.waitServed("/lohu930/1", 20*time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		d.rec.add("of %d servers %.0f send additional bytes after %.2f of their responses, for %v", servers, share*servers, x, length)
		on.Store(true)
	}
	var g sync.WaitGroup
	var mu sync.Mutex
	unsafe := map[string]bool{}
	from := time.Now()
	for i := 0; time.Since(from) < length; i++ {
		g.Go(func() {
			a := d.once(d.entries[i%3], http.MethodPost, "/pufi791/2", "", []byte("seat"), 2500*time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			unsafe[a.id] = true
		})
		time.Sleep(time.Until(from.Add(time.Duration(i+1) * time.Second / rate)))
	}
	on.Store(false)
	g.Wait()
	time.Sleep(time.Second)
	count := map[string]int{}
	for _, r := range rs.all() {
		if unsafe[r.id] {
			count[r.id]++
		}
	}
	twice := 0
	for _, n := range count {
		if n > 1 {
			twice++
		}
	}
	text := fmt.Sprintf("of %d requests that may run once, %d ran more than once", len(unsafe), twice)
	return verdict{twice > 0, text}, nil
}
