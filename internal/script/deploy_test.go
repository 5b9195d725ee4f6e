package script

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/proc"
	"github.com/eelgrassroad/eelgrassroad/internal/relay"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

const (
	proxyPort   = 7100
	backendPort = 7101
	adminToken  = "scenario-admin-token"
	sharedKey   = "scenario-key"
	stopTimeout = 40 * time.Second
)

type deploymentKey struct{}

var scenarioCount atomic.Int64

// process is one program that a scenario started.
type process struct {
	proc.Process
	name, ip string
}

// load is a load generator process that runs concurrently with the scenario.
type load struct {
	cmd  *exec.Cmd
	out  *bytes.Buffer
	done chan error
	exit error
}

// deployment holds the processes of one scenario.
type deployment struct {
	dir      string
	octet    int64
	net      *relay.Network
	procs    map[string]*process
	entries  []string
	replicas []string
	targets  []string
	loads    map[string]*load
	// oldLeader is the name of the replica that was leader at the latest "old leader"
	// command; the scenario freezes it or cuts it off.
	oldLeader string
	// regions holds the regions of entries and targets by IP address.
	regions sync.Map
}

func newDeployment(dir string) *deployment {
	n := relay.New()
	d := &deployment{dir: dir, net: n, procs: map[string]*process{}, loads: map[string]*load{}}
	n.SetZone(func(host string) string {
		r, _ := d.regions.Load(host)
		s, _ := r.(string)
		return s
	})
	d.octet = 16 + (int64(os.Getpid())*13+scenarioCount.Add(1))%200
	return d
}

func (d *deployment) close() {
	for _, l := range d.loads {
		if l.cmd.ProcessState == nil {
			_ = l.cmd.Process.Kill()
			l.exit = <-l.done
		}
	}
	for _, p := range d.procs {
		p.Kill()
	}
	_ = d.net.Close()
}

func (d *deployment) ip(kind, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.octet, kind, n)
}

func proxyAddr(ip string) string { return net.JoinHostPort(ip, fmt.Sprint(proxyPort)) }

func (d *deployment) journal() string { return filepath.Join(d.dir, "runs.journal") }

// add starts a process behind a proxy of the relay.
func (d *deployment) add(name, program, ip string, args ...string) error {
	if _, ok := d.procs[name]; ok {
		return fmt.Errorf("process %q exists already", name)
	}
	backend := net.JoinHostPort(ip, fmt.Sprint(backendPort))
	if err := d.net.Proxy(proxyAddr(ip), backend); err != nil {
		return err
	}
	args = append(args, "--listen", backend, "--advertise", proxyAddr(ip), "--bind-source")
	p := &process{name: name, ip: ip, Process: proc.Process{
		Path: filepath.Join(binaries, program), Args: args, LogFile: filepath.Join(d.dir, name+".log"),
		Env: []string{"EEL_KEY=" + sharedKey, "EEL_ADMIN_TOKEN=" + adminToken, "EEL_LOG_LEVEL=debug"},
	}}
	d.procs[name] = p
	return p.Start()
}

func (d *deployment) get(name string) (*process, error) {
	if name == "leader" {
		n, err := d.awaitLeader()
		if err != nil {
			return nil, err
		}
		name = strings.TrimSpace(n)
	}
	if name == "old" {
		name = d.oldLeader
	}
	p, ok := d.procs[name]
	if !ok {
		return nil, fmt.Errorf("process %q does not exist", name)
	}
	return p, nil
}

// electionTimeout is the time within which the replicas must elect a new leader:
// changes must be in force within the same 5 s.
const electionTimeout = 5 * time.Second

// awaitLeader returns the name of the leader, and waits for a running election.
func (d *deployment) awaitLeader() (string, error) {
	end := time.Now().Add(electionTimeout)
	for {
		n, err := d.leader(nil)
		if err == nil || time.Now().After(end) {
			return n, err
		}
		time.Sleep(pollInterval)
	}
}

func (d *deployment) addStates(n int) error {
	var peers, list []string
	for i := 1; i <= n; i++ {
		peers = append(peers, fmt.Sprintf("--replica=%d=%s", i, proxyAddr(d.ip(1, i))))
		list = append(list, proxyAddr(d.ip(1, i)))
	}
	d.replicas = list
	for i := 1; i <= n; i++ {
		name := fmt.Sprintf("state%d", i)
		args := append(slices.Clone(peers), "--id", fmt.Sprint(i), "--data", d.data(name), "--snapshot-bytes", "65536")
		if err := d.add(name, "eelstate", d.ip(1, i), args...); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) data(name string) string { return filepath.Join(d.dir, name+".data") }

func (d *deployment) addEntry(name, domain string, extra ...string) error {
	ip := d.ip(2, len(d.entries)+1)
	d.entries = append(d.entries, name)
	d.setRegion(ip, domain)
	args := []string{"--id", name, "--failure-domain", domain, "--list-life", "1s"}
	for _, r := range d.replicas {
		args = append(args, "--replica", r)
	}
	return d.add(name, "eelentry", ip, append(args, extra...)...)
}

func (d *deployment) addTarget(name, service, domain string, extra ...string) error {
	ip := d.ip(3, len(d.targets)+1)
	d.targets = append(d.targets, name)
	d.setRegion(ip, domain)
	args := []string{"target", "--id", name, "--service", service, "--failure-domain", domain, "--journal", d.journal()}
	for _, e := range d.entryAddrs() {
		args = append(args, "--entry", e)
	}
	return d.add(name, "eelfake", ip, append(args, extra...)...)
}

// setRegion records the region of a host.
func (d *deployment) setRegion(ip, domain string) {
	d.regions.Store(ip, string(regionOf(domain)))
}

// regionOf returns the region of a failure domain, which is the part of its name
// before the first "-".
func regionOf(domain string) model.RegionID {
	region, _, _ := strings.Cut(domain, "-")
	return model.RegionID(region)
}

func (d *deployment) entryAddrs() []string {
	var out []string
	for _, e := range d.entries {
		out = append(out, proxyAddr(d.procs[e].ip))
	}
	return out
}
