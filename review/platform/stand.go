package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// record is the file record.txt of a case: what was sent, answered and run, with times in
// seconds since the start.
type record struct {
	mu   sync.Mutex
	f    *os.File
	from time.Time
}

func newRecord(name string) (*record, error) {
	f, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{f: f, from: time.Now()}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f "+format+"\n", append([]any{time.Since(r.from).Seconds()}, args...)...)
}

// run is one request that a server began to work on.
type run struct {
	server, service, id string
	at                  time.Time
}

// server is a sound back end: it checks in, refuses requests for another instance with 421,
// and runs all others.
type server struct {
	d                 *deployment
	id, service, zone string
	ip                string
	slots             int
	born              int64
	work              func(*http.Request) time.Duration
	seq               atomic.Int64
	cold              atomic.Int64
	// coldNow, if set, returns how long the server stays cold, in place of cold.
	coldNow  func() time.Duration
	state    atomic.Value
	leaving  atomic.Bool
	stop     chan struct{}
	stopOnce sync.Once
	h        *http.Server
	runs     *runs
}

type runs struct {
	mu   sync.Mutex
	list []run
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, x)
}

func (r *runs) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run{}, r.list...)
}

func (d *deployment) newServer(id, service string, n, zone int, rs *runs) *server {
	s := &server{
		d: d, id: id, service: service, zone: zones[zone][0], ip: d.ip(3, n), slots: 4, born: time.Now().UnixMilli(),
		work: func(*http.Request) time.Duration { return 20 * time.Millisecond }, stop: make(chan struct{}), runs: rs,
	}
	s.state.Store("ready")
	return s
}

func (s *server) beatBody() []byte {
	if s.coldNow != nil {
		s.cold.Store(s.coldNow().Milliseconds())
	}
	return fmt.Appendf(nil, `{"address":"%s","born":%d,"info":{"service":"%s","version":"v1","zone":"%s","slots":%d},"status":{"state":"%s","sequence":%d,"cold_remaining":"%dms"}}`,
		addr(s.ip, serverPort), s.born, s.service, s.zone, s.slots, s.state.Load(), s.seq.Add(1), s.cold.Load())
}

// beat checks in: at one daemon after another until one acknowledges within a second.
func (s *server) beat(at *int) bool {
	for range s.d.replicas {
		m := s.d.replicas[*at%len(s.d.replicas)]
		b := s.beatBody()
		status, text := post(addr(m.ip, controlPort), "/api/Instances.Heartbeat/"+s.id, b, time.Second)
		if s.coldNow != nil {
			s.d.rec.add("server %s: check-in with cold_remaining %d ms at %s: status %d %s", s.id, s.cold.Load(), m.name, status, text)
		}
		if status/100 == 2 {
			return true
		}
		s.d.rec.add("server %s: check-in at %s: status %d %s", s.id, m.name, status, text)
		*at++
	}
	return false
}

// start serves and checks in until end is called. The first check-in is to daemon first.
func (s *server) start(first int) error {
	if err := s.listen(); err != nil {
		return err
	}
	go func() {
		at := first
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
	return nil
}

// listen serves without checking in.
func (s *server) listen() error {
	l, err := net.Listen("tcp", addr(s.ip, serverPort))
	if err != nil {
		return err
	}
	s.h = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.h.Serve(l) }()
	s.d.rec.add("server %s of service %s starts at %s", s.id, s.service, addr(s.ip, serverPort))
	return nil
}

// endBeats stops the check-ins.
func (s *server) endBeats() { s.stopOnce.Do(func() { close(s.stop) }) }

func (s *server) end() {
	s.endBeats()
	if s.h != nil {
		s.h.Close()
	}
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	w.Header()["Date"] = nil
	w.Header().Set("Instance-Id", s.id)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("Attempt-Id")
	if id != "" {
		w.Header().Set("Attempt-Id", id)
	}
	if want := r.Header.Get("Target-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	s.runs.add(run{s.id, s.service, id, time.Now()})
	s.d.rec.add("run: server %s (%s) runs %s, %s %s, body %d", s.id, s.service, id, r.Method, r.URL.Path, n)
	t := time.NewTimer(s.work(r))
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
		s.d.rec.add("run: server %s: the connection of %s has closed, work ends", s.id, id)
		return
	}
	w.Header().Set("Response-Signature", "sig."+s.id+"."+id)
	fmt.Fprintf(w, "done %s by %s\n", id, s.id)
	s.d.rec.add("run: server %s has answered %s", s.id, id)
}

var attempts atomic.Int64

func newAttempt() string {
	return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, attempts.Add(1))
}

// answer is what a client saw.
type answer struct {
	id     string
	status int
	sig    string
	err    string
	sent   time.Time
	took   time.Duration
}

// conn is a client's connection that is kept between requests.
type conn struct {
	net.Conn
	r *bufio.Reader
}

func dial(to string) (*conn, error) {
	c, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{c, bufio.NewReader(c)}, nil
}

const host = "ficu95.example"

// send sends one request on the connection and waits for the answer until the deadline.
func (c *conn) send(d *deployment, m *machine, method, path, key string, body []byte, deadline time.Duration) answer {
	a := answer{id: newAttempt(), sent: time.Now()}
	req := method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + a.id + "\r\n"
	if key != "" {
		req += "Affinity-Key: " + key + "\r\n"
	}
	req += "Deadline-Ms: " + strconv.FormatInt(deadline.Milliseconds(), 10) + "\r\n"
	if method == http.MethodPost {
		req += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	req += "\r\n"
	_ = c.SetDeadline(time.Now().Add(deadline))
	defer func() {
		a.took = time.Since(a.sent)
		d.rec.add("client: %s %s %s to %s: status %d signature %q after %d ms %s", a.id, method, path, m.name, a.status, a.sig, a.took.Milliseconds(), a.err)
	}()
	if _, err := io.Copy(c, io.MultiReader(strings.NewReader(req), strings.NewReader(string(body)))); err != nil {
		a.err = "not sent whole: " + err.Error()
		return a
	}
	r, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		a.err = "no answer: " + err.Error()
		return a
	}
	defer r.Body.Close()
	if _, err := io.ReadAll(r.Body); err != nil {
		a.err = "answer not whole: " + err.Error()
		return a
	}
	a.status, a.sig = r.StatusCode, r.Header.Get("Response-Signature")
	return a
}

// once sends one request on a new connection.
func (d *deployment) once(m *machine, method, path, key string, body []byte, deadline time.Duration) answer {
	c, err := dial(addr(m.ip, frontPort))
	if err != nil {
		d.rec.add("client: %s cannot be reached: %v", m.name, err)
		return answer{err: err.Error(), sent: time.Now()}
	}
	defer c.Close()
	return c.send(d, m, method, path, key, body, deadline)
}

// route is one rule of a manifest.
type route struct {
	prefix, kind, service string
	latency, timeout      string
	affinity              bool
}

// manifest returns a manifest with the routes, all of one host.
func manifest(version int, services []string, routes ...route) []byte {
	var rules, clusters []string
	for i, r := range routes {
		rules = append(rules, fmt.Sprintf(`{"name":"r-%d","kind":"%s","target_latency":"%s","priority":%d,"session_affinity":%v,"match":{"path_prefix":"%s"},"action":{"service":"%s","timeout":"%s","max_attempts":2,"allowed_regions":[]}}`,
			i+1, r.kind, r.latency, i+1, r.affinity, r.prefix, r.service, r.timeout))
	}
	for _, s := range services {
		clusters = append(clusters, fmt.Sprintf(`{"name":"%s","health_check_path":"/health","max_connections":390,"protocol":"h1","tls":false,"cold_start":"3s","cold_per_s":7.4}`, s))
	}
	return fmt.Appendf(nil, `{"version":"r%d","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},"listeners":[{"host":"%s","rules":[%s]}],"clusters":[%s]}`,
		version, host, strings.Join(rules, ","), strings.Join(clusters, ","))
}

// waitServed waits until each entry serves a request on the path.
func (d *deployment) waitServed(path string, limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range d.entries {
		for {
			if a := d.once(m, http.MethodGet, path, "", nil, 2*time.Second); a.status == 200 {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s does not serve %s", m.name, path)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
