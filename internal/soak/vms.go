package soak

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/proc"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/platform"
)

// The ports of the deployment; processes listen listenShift above them, behind the relay.
const (
	proxyPort     = 8161
	directoryPort = 8164
	controlPort   = 8166
	readyPort     = 8167
	internalPort  = 7720
	targetPort    = 8080
	listenShift   = 1000
)

// The third byte of an IP address is the kind of host.
const (
	replicaSubnet = 1
	entrySubnet   = 2
	targetSubnet  = 3
	callerSubnet  = 4
)

// domainCount is the number of failure domains, two in each region.
const domainCount = 6

// sharedKey is the shared secret of the deployment's processes.
const sharedKey = "soak"

// vm is one VM with its process.
type vm struct {
	name, ip     string
	settings     platform.Settings
	settingsFile string
	p            proc.Process
	// starts counts the starts of the process.
	starts atomic.Int32
	// stopStartedAt is when the last planned stop began.
	stopStartedAt atomic.Int64
	// busy reports whether a fault is active on the VM, or it is not in use.
	busy atomic.Bool
	// unused reports whether the VM is a spare one, or gone for good.
	unused atomic.Bool
}

// inUse returns the VMs of a list that are in use.
func inUse(list []*vm) []*vm {
	return slices.DeleteFunc(slices.Clone(list), func(m *vm) bool { return m.unused.Load() })
}

func (s *soak) ip(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", s.networkByte, kind, n) }

func hostPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

func (s *soak) domain(n int) model.FailureDomainID {
	return model.FailureDomainID(fmt.Sprintf("r%d-%c", n%3+1, 'a'+n/3%2))
}

func (s *soak) domainRegions() map[model.FailureDomainID]model.RegionID {
	m := map[model.FailureDomainID]model.RegionID{}
	for i := range domainCount {
		d := s.domain(i)
		r, _, _ := strings.Cut(string(d), "-")
		m[d] = model.RegionID(r)
	}
	return m
}

// controlAddrs returns the control addresses of the replicas that are in use.
func (s *soak) controlAddrs() []string {
	var out []string
	for _, m := range inUse(s.replicas) {
		out = append(out, m.settings.Control)
	}
	return out
}

// addVM writes a VM's settings and places the relay in front of it.
func (s *soak) addVM(role string, kind, n int) (*vm, error) {
	m := &vm{name: fmt.Sprintf("%s%d", role, n+1), ip: s.ip(kind, n+1)}
	m.settings = platform.Settings{
		Name: m.name, IP: m.ip, Domain: s.domain(n), DomainRegions: s.domainRegions(), Internal: hostPort(m.ip, internalPort), FirstStart: true,
		MemoryMB: 256, Heartbeat: heartbeatInterval, MaxListTTL: 3 * time.Second, TerminationGrace: terminationGrace,
		RetryRatio: retryRatio, RetryBurst: retryBurst, RetryWindow: retryWindow, AckTimeout: 4 * time.Second, CatchUp: settleTime,
		KeyLife: keyTTL, AllowanceWindow: allowanceWindow, AllowanceOverageFactor: allowanceOverageFactor, AllowanceTolerance: allowanceTolerance,
	}
	for i := range min(3, s.o.Replicas) {
		m.settings.Seeds = append(m.settings.Seeds, hostPort(s.ip(replicaSubnet, i+1), controlPort))
	}
	ports := []int{internalPort}
	if kind == replicaSubnet {
		m.settings.Control, m.settings.DataDir = hostPort(m.ip, controlPort), filepath.Join(s.o.Dir, m.name+".data")
		ports = append(ports, controlPort)
	} else {
		m.settings.Proxy, m.settings.Ready, m.settings.Directory = hostPort(m.ip, proxyPort), hostPort(m.ip, readyPort), hostPort(m.ip, directoryPort)
		ports = append(ports, proxyPort, readyPort, directoryPort)
	}
	for _, p := range ports {
		if err := s.net.Proxy(hostPort(m.ip, p), hostPort(m.ip, p+listenShift)); err != nil {
			return nil, err
		}
	}
	m.settingsFile = filepath.Join(s.o.Dir, m.name+".conf")
	m.p = proc.Process{
		Path: s.o.Program, Args: []string{role, "--settings", m.settingsFile, "--listen-shift", strconv.Itoa(listenShift), "--bind-source"},
		Env: []string{"EEL_KEY=" + sharedKey}, LogFile: filepath.Join(s.o.Dir, m.name+".log"),
	}
	return m, m.writeSettings()
}

// writeSettings writes the settings file.
func (m *vm) writeSettings() error {
	return os.WriteFile(m.settingsFile, []byte(m.settings.Format()), 0o600)
}

// start starts the process. FirstStart, which creates a new system, is set only the first time.
func (m *vm) start() error {
	if m.starts.Load() > 0 {
		m.settings.FirstStart = false
	}
	if err := m.writeSettings(); err != nil {
		return err
	}
	m.starts.Add(1)
	return m.p.Start()
}

// inPlannedStop reports whether the entry at an IP address was in a planned stop at some
// time since from.
func (s *soak) inPlannedStop(ip string, from time.Duration) bool {
	for _, m := range s.entries {
		if m.ip == ip {
			t := time.Duration(m.stopStartedAt.Load())
			return t > 0 && from <= t+terminationGrace+time.Second && s.mon.now() >= t
		}
	}
	return false
}

// addTarget starts a target at one of the target addresses.
func (s *soak) addTarget(n int, service model.ServiceID, warm bool) (*target, error) {
	ip := s.ip(targetSubnet, n+1)
	s.instances++
	d := s.domain(n / 2)
	x := &target{
		t: model.Target{
			ID: model.TargetID(fmt.Sprintf("t%d-%d", n+1, s.instances)), Service: service, FailureDomain: d, Addr: hostPort(ip, targetPort),
			Slots: 2, State: model.TargetReady, Incarnation: uint64(time.Now().UnixMilli()),
		},
		mon: s.mon, controlAddrs: s.controlAddrs, client: platform.Client{HTTP: clientFrom(ip)}, warm: map[string]bool{}, domainDrained: s.op.domainDrained(d),
	}
	if !warm {
		x.coldEnd = s.mon.now() + coldDuration
	}
	if !s.relayed[n] {
		if err := s.net.Proxy(hostPort(ip, targetPort), hostPort(ip, targetPort+listenShift)); err != nil {
			return nil, err
		}
		s.relayed[n] = true
	}
	return x, x.serve(hostPort(ip, targetPort+listenShift))
}

// waitUntilServed waits until a request of a separate caller is served.
func (s *soak) waitUntilServed(ctx context.Context, limit time.Duration, n int) bool {
	c := newCaller(s, n)
	for end := s.mon.now() + limit; s.mon.now() < end && ctx.Err() == nil; time.Sleep(heartbeatInterval / 10) {
		if a, ok := c.address(ctx); ok && c.send(ctx, a, false).ok {
			return true
		}
	}
	return false
}
