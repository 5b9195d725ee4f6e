package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// server is a back end.
type server struct {
	l                       *lab
	id, service, zone, addr string
	born                    int64
	work                    time.Duration
	// bad, if set, answers a request in place of the server; it returns false to let it run as usual.
	bad func(s *server, w http.ResponseWriter, r *http.Request) bool

	lis  net.Listener
	http *http.Server

	mu    sync.Mutex
	state string
	cut   string
	// resets is the address of the machine whose connections are accepted and reset.
	resets   string
	conns    map[net.Conn]bool
	sequence int
	running  int
	ended    bool
}

// run is one run of a request at a server.
type run struct {
	at            time.Duration
	id, path      string
	server, zone  string
	service, from string
}

func (l *lab) addServer(service, zone string, work time.Duration) (*server, error) {
	s, err := l.startServer(service, zone, fmt.Sprintf("%s:%d", l.ip(3, len(l.servers)+1), portServer), work)
	if err != nil {
		return nil, err
	}
	l.servers = append(l.servers, s)
	return s, nil
}

// startServer starts a lifetime of a server.
func (l *lab) startServer(service, zone, addr string, work time.Duration) (*server, error) {
	s := &server{
		l: l, id: fmt.Sprintf("i-%010x", rand.Uint64()>>24), service: service, zone: zone, addr: addr,
		born: time.Now().UnixMilli(), work: work, state: "ready", conns: map[net.Conn]bool{},
	}
	var err error
	if s.lis, err = listen(s.addr); err != nil {
		return nil, err
	}
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second, ConnState: func(c net.Conn, st http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch st {
		case http.StateNew:
			s.conns[c] = true
			if s.resets != "" && remoteIP(c) == s.resets {
				_ = c.(*net.TCPConn).SetLinger(0)
				c.Close()
				return
			}
			if s.cut != "" {
				_ = dropFrom(c.(*net.TCPConn), s.cut)
			}
		case http.StateClosed, http.StateHijacked:
			delete(s.conns, c)
		}
	}}
	go func() { _ = s.http.Serve(s.lis) }()
	go s.checkIn()
	return s, nil
}

// crash ends the server at once; it is back as another lifetime after a while.
func (s *server) crash(back time.Duration) {
	s.l.logf("server %s (%s, %s) crashes", s.id, s.service, s.zone)
	s.close()
	time.AfterFunc(back, func() {
		x, err := s.l.startServer(s.service, s.zone, s.addr, s.work)
		if err != nil {
			s.l.logf("server at %s is not back: %v", s.addr, err)
			return
		}
		x.bad = s.bad
		s.l.logf("server %s (%s, %s) starts at %s", x.id, x.service, x.zone, x.addr)
		s.l.mu.Lock()
		defer s.l.mu.Unlock()
		for i, y := range s.l.servers {
			if y == s {
				s.l.servers[i] = x
			}
		}
	})
}

func (s *server) close() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	s.http.Close()
}

// checkIn sends the server's check-ins.
func (s *server) checkIn() {
	for i := rand.IntN(5); ; {
		s.mu.Lock()
		if s.ended {
			s.mu.Unlock()
			return
		}
		s.sequence++
		body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":8},"status":{"state":%q,"sequence":%d,"cold_remaining":"0ms"}}`,
			s.addr, s.born, s.service, s.zone, s.state, s.sequence)
		s.mu.Unlock()
		cores := s.l.coreList()
		for range cores {
			m := cores[i%len(cores)]
			status, _, err := s.l.order(m, http.MethodPost, "/api/Instances.Heartbeat/"+s.id, []byte(body))
			if err == nil && status/100 == 2 {
				break
			}
			i++
		}
		select {
		case <-s.l.stopped:
			return
		case <-time.After(heartbeat):
		}
	}
}

// setCut partitions a front machine from the server: its packets are dropped.
func (s *server) setCut(ip string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = ip
	if err := dropFrom(s.lis.(*net.TCPListener), ip); err != nil {
		return err
	}
	for c := range s.conns {
		_ = dropFrom(c.(*net.TCPConn), ip) // It may have been closed.
	}
	return nil
}

// resetFront resets the connections of a front machine at all servers, also new ones as soon as they are
// accepted; an empty address ends that.
func (l *lab) resetFront(ip string) {
	for _, s := range l.servers {
		s.mu.Lock()
		s.resets = ip
		for c := range s.conns {
			if ip != "" && remoteIP(c) == ip {
				_ = c.(*net.TCPConn).SetLinger(0)
				c.Close()
			}
		}
		s.mu.Unlock()
	}
}

// cutFront partitions a front machine from all servers; an empty address ends that.
func (l *lab) cutFront(ip string) error {
	for _, s := range l.servers {
		if err := s.setCut(ip); err != nil {
			return fmt.Errorf("%w: %v", errSetup, err)
		}
	}
	return nil
}

// cutCore partitions a machine from the traffic between daemons of all core machines; an empty address
// ends that.
func (l *lab) cutCore(ip string) error {
	for _, p := range l.proxies {
		if err := p.setCut(ip); err != nil {
			return fmt.Errorf("%w: %v", errSetup, err)
		}
	}
	return nil
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.id)
		return
	}
	if want := r.Header.Get("Target-Instance"); want != "" && want != s.id {
		w.Header().Set("Attempt-Id", id)
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.bad != nil && s.bad(s, w, r) {
		return
	}
	s.mu.Lock()
	s.running++
	load := s.running
	s.mu.Unlock()
	from, _, _ := strings.Cut(r.RemoteAddr, ":")
	s.l.ran(run{s.l.now(), id, r.URL.RequestURI(), s.id, s.zone, s.service, from})
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
	}
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	answer := fmt.Sprintf("%s %s %s %d\n", s.service, s.id, id, len(body))
	h := w.Header()
	h.Set("Attempt-Id", id)
	h.Set("Response-Signature", fmt.Sprintf("%x.%d", s.id, len(answer)))
	h.Set("Backend-Load", fmt.Sprintf("%d,0,8", load))
	_, _ = io.WriteString(w, answer)
}
