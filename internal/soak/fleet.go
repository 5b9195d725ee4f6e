package soak

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/proc"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/platform"
)

// The ports of the deployment; processes listen some ports above them, behind the relay.
const (
	frontPort     = 8161
	directoryPort = 8164
	controlPort   = 8166
	readyPort     = 8167
	internalPort  = 7720
	targetPort    = 8080
	listenShift   = 1000
)

// The third number of an IP number tells what a host is.
const (
	replicaHosts = 1
	entryHosts   = 2
	targetHosts  = 3
	callerHosts  = 4
)

// domains is how many failure domains there are, two in each region.
const domains = 6

// sharedKey is the secret of the deployment's processes.
const sharedKey = "soak"

// machine is one VM with its process.
type machine struct {
	name, ip string
	settings platform.Settings
	file     string
	p        proc.Process
	// starts counts the starts of the process.
	starts atomic.Int32
	// stopAt is when the last planned stop began.
	stopAt atomic.Int64
	// busy says that something harms the machine.
	busy atomic.Bool
}

func (s *soak) ip(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", s.octet, kind, n) }

func at(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

func (s *soak) domain(n int) model.FailureDomainID {
	return model.FailureDomainID(fmt.Sprintf("r%d-%c", n%3+1, 'a'+n/3%2))
}

func (s *soak) places() map[model.FailureDomainID]model.RegionID {
	m := map[model.FailureDomainID]model.RegionID{}
	for i := range domains {
		d := s.domain(i)
		r, _, _ := strings.Cut(string(d), "-")
		m[d] = model.RegionID(r)
	}
	return m
}

// control returns the control addresses of all replicas.
func (s *soak) control() []string {
	var out []string
	for _, m := range s.replicas {
		out = append(out, m.settings.Control)
	}
	return out
}

// addMachine writes a VM's settings and puts the relay before it.
func (s *soak) addMachine(role string, kind, n int) (*machine, error) {
	m := &machine{name: fmt.Sprintf("%s%d", role, n+1), ip: s.ip(kind, n+1)}
	m.settings = platform.Settings{
		Name: m.name, IP: m.ip, Domain: s.domain(n), DomainRegions: s.places(), Internal: at(m.ip, internalPort), FirstStart: true,
		MemoryMB: 256, Heartbeat: heartbeat, MaxListTTL: 3 * time.Second, TerminationGrace: grace,
		RetryRatio: retryRatio, RetryBurst: retryBurst, RetryWindow: retryWindow, AckTimeout: 4 * time.Second,
		KeyLife: keyLife, AllowanceWindow: allowanceWindow, AllowanceOverageFactor: allowanceExcess, AllowanceTolerance: allowanceSlack,
	}
	for i := range min(3, s.o.Replicas) {
		m.settings.Seeds = append(m.settings.Seeds, at(s.ip(replicaHosts, i+1), controlPort))
	}
	ports := []int{internalPort}
	if kind == replicaHosts {
		m.settings.Control, m.settings.DataDir = at(m.ip, controlPort), filepath.Join(s.o.Dir, m.name+".data")
		ports = append(ports, controlPort)
	} else {
		m.settings.Proxy, m.settings.Ready, m.settings.Directory = at(m.ip, frontPort), at(m.ip, readyPort), at(m.ip, directoryPort)
		ports = append(ports, frontPort, readyPort, directoryPort)
	}
	for _, p := range ports {
		if err := s.net.Proxy(at(m.ip, p), at(m.ip, p+listenShift)); err != nil {
			return nil, err
		}
	}
	m.file = filepath.Join(s.o.Dir, m.name+".conf")
	m.p = proc.Process{
		Path: s.o.Program, Args: []string{role, "--settings", m.file, "--listen-shift", strconv.Itoa(listenShift), "--bind-source"},
		Env: []string{"EEL_KEY=" + sharedKey}, LogFile: filepath.Join(s.o.Dir, m.name+".log"),
	}
	return m, m.write()
}

// write writes the settings file.
func (m *machine) write() error { return os.WriteFile(m.file, []byte(m.settings.Format()), 0o600) }

// start starts the process; after the first time nothing of the system is new.
func (m *machine) start() error {
	if m.starts.Load() > 0 {
		m.settings.FirstStart = false
	}
	if err := m.write(); err != nil {
		return err
	}
	m.starts.Add(1)
	return m.p.Start()
}

// stopping tells whether the entry at an IP number was in a planned stop at some time from a time on.
func (s *soak) stopping(ip string, from time.Duration) bool {
	for _, m := range s.entries {
		if m.ip == ip {
			t := time.Duration(m.stopAt.Load())
			return t > 0 && from <= t+grace+time.Second && s.w.now() >= t
		}
	}
	return false
}

// addTarget starts a target at one of the addresses for targets.
func (s *soak) addTarget(n int, service model.ServiceID, warm bool) (*target, error) {
	ip := s.ip(targetHosts, n+1)
	s.lives++
	d := s.domain(n / 2)
	x := &target{
		t: model.Target{
			ID: model.TargetID(fmt.Sprintf("t%d-%d", n+1, s.lives)), Service: service, FailureDomain: d, Addr: at(ip, targetPort),
			Slots: 2, State: model.TargetReady, Incarnation: uint64(time.Now().UnixMilli()),
		},
		w: s.w, control: s.control, client: platform.Client{HTTP: clientFrom(ip)}, warm: map[string]bool{}, emptied: s.op.emptied(d),
	}
	if !warm {
		x.coldEnd = s.w.now() + coldTime
	}
	if !s.fronted[n] {
		if err := s.net.Proxy(at(ip, targetPort), at(ip, targetPort+listenShift)); err != nil {
			return nil, err
		}
		s.fronted[n] = true
	}
	return x, x.serve(at(ip, targetPort+listenShift))
}

// awaitServed waits until a request of a caller of its own is served.
func (s *soak) awaitServed(ctx context.Context, limit time.Duration, n int) bool {
	c := newCaller(s, n)
	for end := s.w.now() + limit; s.w.now() < end && ctx.Err() == nil; time.Sleep(heartbeat / 10) {
		if a, ok := c.address(ctx); ok && c.send(ctx, a, false).ok {
			return true
		}
	}
	return false
}
