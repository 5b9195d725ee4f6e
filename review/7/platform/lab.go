// Command platform plays the users' platform around the project's own processes: machines on
// loopback addresses, the operator, back ends and clients. Each scenario of the review is a
// function of it.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of the deployment. Replicas listen shift above theirs, behind a proxy.
const (
	portFront     = 18161
	portDirectory = 18164
	portControl   = 18166
	portReady     = 18167
	portInternal  = 17720
	portServer    = 18080
	shift         = 1000

	host      = "portal.example"
	heartbeat = 1500 * time.Millisecond
	// contact, catchUp, configApply and rollbackSlack are bounds of a small site file.
	contact         = 3 * time.Second
	catchUp         = 4 * time.Second
	configApply     = 2500 * time.Millisecond
	rollbackSlack   = 250 * time.Millisecond
	evacuationGrace = 5 * time.Second
)

// errSetup marks a case that could not run.
var errSetup = errors.New("the case could not run")

// lab is one deployment.
type lab struct {
	net     byte
	dir     string
	program string
	start   time.Time
	zones   []string
	regions map[string]string
	cores   []*machine
	fronts  []*machine
	servers []*server
	proxies []*proxy
	// coresStarted is the number of core machines that were added so far.
	coresStarted int
	// hasProxies puts a proxy before each address of the core machines.
	hasProxies bool

	mu      sync.Mutex
	events  []event
	record  *os.File
	stopped chan struct{}
	once    sync.Once
}

// event is a line of the record. at is the time since the start of the lab.
type event struct {
	at   time.Duration
	text string
}

func newLab(program string, record string) (*lab, error) {
	dir, err := os.MkdirTemp("", "review-lab-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	l := &lab{
		dir: dir, program: program, start: time.Now(), record: f, stopped: make(chan struct{}),
		zones:   []string{"attiki-a", "makedonia-a", "kriti-a", "attiki-b", "makedonia-b", "kriti-b"},
		regions: map[string]string{},
	}
	for _, z := range l.zones {
		l.regions[z], _, _ = strings.Cut(z, "-")
	}
	for range 50 {
		l.net = byte(20 + rand.IntN(200))
		if l.isFree() {
			return l, nil
		}
	}
	return nil, fmt.Errorf("%w: no free loopback addresses", errSetup)
}

// isFree reports whether the addresses of the lab's network are free.
func (l *lab) isFree() bool {
	for kind := 1; kind <= 3; kind++ {
		for _, p := range []int{portFront, portDirectory, portControl, portReady, portInternal, portServer} {
			for _, q := range []int{p, p + shift} {
				c, err := net.Listen("tcp", fmt.Sprintf("%s:%d", l.ip(kind, 1), q))
				if err != nil {
					return false
				}
				c.Close()
			}
		}
	}
	return true
}

func (l *lab) ip(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", l.net, kind, n) }

func (l *lab) now() time.Duration { return time.Since(l.start) }

// setCores replaces the list of core machines, which servers read while it changes.
func (l *lab) setCores(list []*machine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cores = list
}

func (l *lab) coreList() []*machine {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cores
}

// logf adds a line to the record.
func (l *lab) logf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, event{l.now(), fmt.Sprintf(format, args...)})
}

// at adds a line with a time to the record.
func (l *lab) at(t time.Duration, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, event{t, fmt.Sprintf(format, args...)})
}

// close ends all processes and stand-ins, and writes the record in the order of time.
func (l *lab) close() {
	l.once.Do(func() {
		close(l.stopped)
		for _, m := range append(append([]*machine{}, l.fronts...), l.cores...) {
			m.kill()
		}
		for _, s := range l.servers {
			s.close()
		}
		for _, p := range l.proxies {
			p.lis.Close()
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		sort.SliceStable(l.events, func(i, j int) bool { return l.events[i].at < l.events[j].at })
		for _, e := range l.events {
			fmt.Fprintf(l.record, "%9.3f s  %s\n", e.at.Seconds(), e.text)
		}
		l.record.Close()
		if os.Getenv("KEEP") == "" {
			os.RemoveAll(l.dir)
		}
	})
}

// machine is a machine with one process.
type machine struct {
	l          *lab
	name, role string
	ip, zone   string
	seeds      []string
	behind     bool
	firstStart bool
	// program is the program of this machine, if it is not that of the lab.
	program string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func (m *machine) settings() string {
	l := m.l
	lines := []string{
		"node_name=" + m.name, "role=eel-" + m.role, "ip=" + m.ip, "zone=" + m.zone, "region=" + l.regions[m.zone],
		fmt.Sprintf("internal_ports=%d,%d", portInternal, portInternal+15), "seed_nodes=" + strings.Join(m.seeds, ","),
		fmt.Sprintf("bootstrap=%v", m.firstStart), "limits.cpu_share=0.32", "limits.cpu_cores=1", "limits.memory_mb=284", "limits.max_fds=4100",
		"discovery=registration", "entry=directory", "heartbeat=1500ms", "fault_tolerance.machines=1", "fault_tolerance.zones=1", "fault_tolerance.regions=1",
		"bounds.seed_lag=3s", "bounds.addr_reuse=2s", "bounds.contact=3000ms", "bounds.ack_timeout=4000ms", "bounds.catch_up=4s", "bounds.drain=2500ms",
		"bounds.grace=6s", "bounds.loss_slack=200ms", "bounds.config_apply=2500ms", "bounds.rollback_slack=250ms", "bounds.max_stretch=5000ms",
		"bounds.retry_budget_ratio=0.2", "bounds.budget_window=10s", "bounds.retry_budget_burst=58", "bounds.cold_multiplier=1.5", "bounds.cold_burst=5",
		"bounds.evacuation_grace=5000ms", "bounds.recovery=15s", "bounds.ttl_max=5s", "bounds.max_region_shift=0.15", "config_mode=highest",
	}
	for z, r := range l.regions {
		lines = append(lines, "zones."+z+"="+r)
	}
	if m.role == "state" {
		lines = append(lines, "machine_class=core", "serves=control", "fault_counted=true", "data_dir="+filepath.Join(l.dir, m.name+".data"),
			fmt.Sprintf("listen_addrs.control=%s:%d", m.ip, portControl))
	} else {
		lines = append(lines, "machine_class=front", "serves=front,directory", "fault_counted=false",
			fmt.Sprintf("listen_addrs.front=%s:%d", m.ip, portFront), fmt.Sprintf("listen_addrs.ready=%s:%d", m.ip, portReady),
			fmt.Sprintf("listen_addrs.directory=%s:%d", m.ip, portDirectory))
	}
	return strings.Join(lines, "\n") + "\n"
}

// run starts the process as the deploy file does.
func (m *machine) run() error {
	conf := filepath.Join(m.l.dir, m.name+".conf")
	if err := os.WriteFile(conf, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	if m.role == "state" {
		if err := os.MkdirAll(filepath.Join(m.l.dir, m.name+".data"), 0o700); err != nil {
			return err
		}
	}
	out, err := os.OpenFile(filepath.Join(m.l.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	program := m.l.program
	if m.program != "" {
		program = m.program
	}
	c := exec.Command(program, m.role)
	c.Env = append(os.Environ(), "EELGRASSROAD_BOOT="+conf, "EEL_KEY=shared by the processes of one deployment", "EEL_METRICS=9464", "EEL_BIND_SOURCE=1")
	if m.behind {
		c.Env = append(c.Env, fmt.Sprintf("EEL_LISTEN_SHIFT=%d", shift))
	}
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = c.Wait()
		close(done)
	}()
	m.mu.Lock()
	m.cmd, m.done = c, done
	m.mu.Unlock()
	m.l.logf("start %s (%s), process %d, %s", m.name, m.ip, c.Process.Pid, filepath.Base(filepath.Dir(program)))
	return nil
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		m.l.logf("%v to %s", s, m.name)
		_ = m.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	c, done := m.cmd, m.done
	m.cmd = nil
	m.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Kill()
	<-done
}

// wait waits until the process has ended.
func (m *machine) wait() {
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	<-done
}

// addCore adds a core machine.
func (l *lab) addCore(zone string, first bool) (*machine, error) {
	n := len(l.cores) + 1
	m := &machine{l: l, name: fmt.Sprintf("core-%s-%d", zone, n), role: "state", ip: l.ip(1, n), zone: zone, behind: l.hasProxies, firstStart: first}
	for i := 1; i <= 3; i++ {
		m.seeds = append(m.seeds, fmt.Sprintf("%s:%d", l.ip(1, i), portControl))
	}
	for _, p := range []int{portControl, portInternal} {
		if !l.hasProxies {
			break
		}
		x, err := newProxy(fmt.Sprintf("%s:%d", m.ip, p), fmt.Sprintf("%s:%d", m.ip, p+shift))
		if err != nil {
			return nil, err
		}
		l.proxies = append(l.proxies, x)
	}
	l.cores = append(l.cores, m)
	l.coresStarted = n
	return m, nil
}

func (l *lab) addFront(zone string) *machine {
	n := len(l.fronts) + 1
	m := &machine{l: l, name: fmt.Sprintf("front-%s-%d", zone, n), role: "entry", ip: l.ip(2, n), zone: zone, firstStart: true}
	for i := 1; i <= 3; i++ {
		m.seeds = append(m.seeds, fmt.Sprintf("%s:%d", l.ip(1, i), portControl))
	}
	l.fronts = append(l.fronts, m)
	return m
}

// startAll starts the processes and waits until each front machine is ready with the first config.
func (l *lab) startAll(m manifest) error {
	for _, x := range append(append([]*machine{}, l.cores...), l.fronts...) {
		if err := x.run(); err != nil {
			return err
		}
	}
	if err := l.put(m); err != nil {
		return fmt.Errorf("%w: %v", errSetup, err)
	}
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, x := range l.fronts {
			if x.ready() {
				ready++
			}
		}
		if ready == len(l.fronts) {
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("%w: %d of %d front machines are ready", errSetup, ready, len(l.fronts))
		}
	}
}

// ready reports whether the machine answers its status check with 200.
func (m *machine) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get(fmt.Sprintf("http://%s:%d/api/ready", m.ip, portReady))
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// route is a route of a manifest.
type route struct {
	name, prefix, kind, service string
	timeout                     time.Duration
}

// manifest is a config of the operator.
type manifest struct {
	version  int
	routes   []route
	services []string
}

func (m manifest) body() []byte {
	type j = map[string]any
	var rules, clusters []j
	for _, r := range m.routes {
		rules = append(rules, j{
			"name": r.name, "kind": r.kind, "target_latency": "600ms", "priority": 1, "session_affinity": false, "match": j{"path_prefix": r.prefix},
			"action": j{"service": r.service, "timeout": fmt.Sprintf("%dms", r.timeout.Milliseconds()), "max_attempts": 2, "allowed_regions": []string{}},
		})
	}
	for _, s := range m.services {
		clusters = append(clusters, j{
			"name": s, "health_check_path": "/health", "max_connections": 330, "protocol": "h1", "tls": false, "cold_start": "3s", "cold_per_s": 2.6,
		})
	}
	b, err := json.Marshal(j{
		"version":   fmt.Sprintf("r%d", m.version),
		"limits":    j{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"listeners": []j{{"host": host, "rules": rules}}, "clusters": clusters,
	})
	if err != nil {
		panic(err)
	}
	return b
}

// order sends one call of the operator to one core machine, and returns the status and the body. As the
// pages say, it waits a second and then gives up, which closes the connection.
func (l *lab) order(m *machine, method, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", m.ip, portControl, path), strings.NewReader(string(body)))
	if err != nil {
		return 0, nil, err
	}
	q.Header.Set("Content-Type", "application/json")
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Do(q)
	if err != nil {
		return 0, nil, err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	return r.StatusCode, b, err
}

// confirm sends an order to one core machine after the other until one acknowledges it, beginning with
// the first of the list.
func (l *lab) confirm(list []*machine, path string, body []byte, limit time.Duration) error {
	until := time.Now().Add(limit)
	for i := 0; time.Now().Before(until); i++ {
		m := list[i%len(list)]
		l.logf("operator sends %s to %s", path, m.name)
		status, _, err := l.order(m, http.MethodPost, path, body)
		if err == nil && status == http.StatusOK {
			l.logf("operator has the confirmation of %s from %s", path, m.name)
			return nil
		}
		l.logf("operator: %s at %s: status %d, %v", path, m.name, status, err)
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s was not acknowledged", path)
}

func (l *lab) put(m manifest) error {
	return l.confirm(l.cores, "/api/Config.Put", m.body(), 15*time.Second)
}

// sleep waits for a time of the lab.
func (l *lab) sleepUntil(t time.Duration) { time.Sleep(t - l.now()) }
