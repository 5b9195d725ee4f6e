package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// The ports of the deployment. Every machine has a loopback address of its own.
const (
	frontPort     = 8161
	directoryPort = 8164
	controlPort   = 8166
	readyPort     = 8167
	internalPort  = 7720
	serverPort    = 8080
)

// zones are those of a small deployment: three regions with two zones each.
var zones = []string{"north-a", "south-a", "west-a", "north-b", "south-b", "west-b"}

func regionOf(zone string) string { r, _, _ := strings.Cut(zone, "-"); return r }

// node is one machine with its process.
type node struct {
	name, role, ip, zone, dir string
	first                     bool
	// bindSource makes the process connect from its own address, as on a machine of its own.
	bindSource bool
	// maxFDs limits the descriptors of the process, if set.
	maxFDs int

	mu  sync.Mutex
	cmd *exec.Cmd
}

// deployment is a set of machines on loopback addresses.
type deployment struct {
	net int
	// reserved is the listener that keeps the network.
	reserved net.Listener
	dir      string
	root     string
	entries  []*node
	// mu guards states, the machines of the core in use, and all, which lists the former ones too.
	mu     sync.Mutex
	states []*node
	all    []*node
	bounds map[string]string
	rec    *record
}

// defaultBounds are those of the sheet of the smaller deployment of the users' pages.
func defaultBounds() map[string]string {
	return map[string]string{
		"seed_lag": "3s", "addr_reuse": "2s", "contact": "3000ms", "ack_timeout": "4000ms", "catch_up": "4s", "drain": "2500ms",
		"grace": "6s", "loss_slack": "200ms", "config_apply": "2500ms", "rollback_slack": "250ms", "max_stretch": "5000ms",
		"retry_budget_ratio": "0.2", "budget_window": "10s", "retry_budget_burst": "58", "cold_multiplier": "1.5", "cold_burst": "5",
		"evacuation_grace": "5000ms", "recovery": "15s", "ttl_max": "5s", "max_region_shift": "0.15",
	}
}

// newDeployment picks a loopback network that is free.
func newDeployment(root string, states, entries int, rec *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, root: root, bounds: defaultBounds(), rec: rec}
	// The listener keeps the network for this run, so that several runs at the same time don't share one.
	for range 100 {
		d.net = 10 + rand.IntN(200)
		if d.reserved, err = net.Listen("tcp", fmt.Sprintf("127.%d.255.1:%d", d.net, controlPort)); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	for i := range states {
		d.states = append(d.states, d.newNode("state", 1, i))
	}
	d.all = append(d.all, d.states...)
	for i := range entries {
		d.entries = append(d.entries, d.newNode("entry", 2, i))
	}
	return d, nil
}

func (d *deployment) ip(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", d.net, kind, n+1) }

func (d *deployment) newNode(role string, kind, n int) *node {
	x := &node{name: fmt.Sprintf("%s%d", role, n+1), role: role, ip: d.ip(kind, n), zone: zones[n%len(zones)], dir: d.dir, first: true}
	return x
}

// settings returns the settings file of a machine, as the pages describe it.
func (d *deployment) settings(x *node) string {
	seeds := d.controls()
	seeds = seeds[:min(3, len(seeds))]
	class, role := "front", "eel-entry"
	lines := []string{"node_name=" + x.name, "ip=" + x.ip, "zone=" + x.zone, "region=" + regionOf(x.zone)}
	if x.role == "entry" {
		lines = append(lines, fmt.Sprintf("listen_addrs.front=%s:%d", x.ip, frontPort), fmt.Sprintf("listen_addrs.ready=%s:%d", x.ip, readyPort),
			fmt.Sprintf("listen_addrs.directory=%s:%d", x.ip, directoryPort), "serves=front,directory", "limits.disk_mb=0", "fault_counted=false")
	} else {
		class, role = "core", "eel-state"
		lines = append(lines, fmt.Sprintf("listen_addrs.control=%s:%d", x.ip, controlPort), "serves=control",
			"data_dir="+filepath.Join(d.dir, x.name+".data"), "limits.disk_mb=256", "fault_counted=true")
	}
	lines = append(lines, "role="+role, "machine_class="+class, fmt.Sprintf("internal_ports=%d,%d", internalPort, internalPort+15),
		"seed_nodes="+strings.Join(seeds, ","), fmt.Sprintf("bootstrap=%v", x.first), "limits.cpu_share=0.32", "limits.cpu_cores=1",
		"limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0", "discovery=registration", "entry=directory",
		"heartbeat=1500ms", "contracts=base,drain,config,cost,retry,recover,places", "config_mode=highest",
		"fault_tolerance.machines=1", "fault_tolerance.zones=1", "fault_tolerance.regions=1")
	for _, z := range zones {
		lines = append(lines, "zones."+z+"="+regionOf(z))
	}
	for k, v := range d.bounds {
		lines = append(lines, "bounds."+k+"="+v)
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the process of a machine with the command and the environment of the deploy file.
func (d *deployment) start(x *node) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	conf := filepath.Join(d.dir, x.name+".conf")
	if err := os.WriteFile(conf, []byte(d.settings(x)), 0o600); err != nil {
		return err
	}
	if x.role == "state" {
		if err := os.MkdirAll(filepath.Join(d.dir, x.name+".data"), 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(d.dir, x.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(filepath.Join(d.root, "target/eelplat"), x.role)
	c.Dir = d.root
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "EELGRASSROAD_BOOT=" + conf,
		"EEL_KEY=shared by the processes of one deployment", "EEL_METRICS=9464"}
	if x.bindSource {
		c.Env = append(c.Env, "EEL_BIND_SOURCE=1")
	}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	x.cmd, x.first = c, false
	if x.maxFDs > 0 {
		return limitFDs(c.Process.Pid, x.maxFDs)
	}
	return nil
}

// limitFDs sets the number of descriptors that a process of this one's may have.
func limitFDs(pid, n int) error {
	l := syscall.Rlimit{Cur: uint64(n), Max: uint64(n)}
	_, _, e := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&l)), 0, 0, 0)
	if e != 0 {
		return fmt.Errorf("the limit of descriptors: %w", e)
	}
	return nil
}

// kill ends a process at once and waits for its end.
func (x *node) kill() {
	x.mu.Lock()
	c := x.cmd
	x.cmd = nil
	x.mu.Unlock()
	if c != nil {
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill()
		_ = c.Wait()
	}
}

func (x *node) signal(s syscall.Signal) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cmd != nil {
		_ = x.cmd.Process.Signal(s)
	}
}

func (d *deployment) startAll() error {
	for _, x := range append(append([]*node{}, d.states...), d.entries...) {
		if err := d.start(x); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes and removes the temporary folder, unless it is to be kept.
func (d *deployment) stop() {
	var g sync.WaitGroup
	for _, x := range append(append([]*node{}, d.all...), d.entries...) {
		g.Go(x.kill)
	}
	g.Wait()
	_ = d.reserved.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs are kept in", d.dir)
	}
}

func (d *deployment) controls() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for _, x := range d.states {
		out = append(out, fmt.Sprintf("%s:%d", x.ip, controlPort))
	}
	return out
}

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{f: f, start: time.Now()}, nil
}

func (r *record) now() time.Duration { return time.Since(r.start) }

func (r *record) add(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%9.4f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...))
}
