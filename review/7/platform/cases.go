package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	oldService = "alpha"
	newService = "beta"
)

func (l *lab) addServers(work time.Duration, services ...string) error {
	for _, s := range services {
		for _, z := range l.zones {
			if _, err := l.addServer(s, z, work); err != nil {
				return fmt.Errorf("%w: %v", errSetup, err)
			}
		}
	}
	return nil
}

func version(n int, service string) manifest {
	return manifest{version: n, services: []string{oldService, newService}, routes: []route{
		{name: "lookup", prefix: "/lookup/", kind: "idempotent", service: service, timeout: 3 * time.Second},
	}}
}

// helperRegresses: a front machine is partitioned from all back ends and sends its clients' requests
// through other front machines. One of these is partitioned from the core, and does not learn of a new
// version of the manifest, which moves the route to another service.
func helperRegresses(l *lab, trouble bool) (bool, error) {
	l.hasProxies = true
	if err := l.deploy(); err != nil {
		return false, err
	}
	if err := l.addServers(150*time.Millisecond, oldService, newService); err != nil {
		return false, err
	}
	if err := l.startAll(version(1, oldService)); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	f, helper := l.fronts[0], l.fronts[1]
	c := l.newClient(f)
	from := l.now()
	var g sync.WaitGroup
	g.Add(1)
	go func() {
		defer g.Done()
		c.load(40, from+10*time.Second, http.MethodGet, "/lookup/1", 3*time.Second)
	}()
	l.sleepUntil(from + 2*time.Second)
	if trouble {
		l.logf("%s is partitioned from all back ends", f.name)
		if err := l.cutFront(f.ip); err != nil {
			return false, err
		}
	}
	l.sleepUntil(from + 5*time.Second)
	if trouble {
		l.logf("%s is partitioned from the core", helper.name)
		if err := l.cutCore(helper.ip); err != nil {
			return false, err
		}
	}
	if err := l.put(version(2, newService)); err != nil {
		return false, fmt.Errorf("%w: %v", errSetup, err)
	}
	l.sleepUntil(from + 7500*time.Millisecond)
	l.logf("the partitions end")
	if err := l.cutFront(""); err != nil {
		return false, err
	}
	if err := l.cutCore(""); err != nil {
		return false, err
	}
	g.Wait()
	return regressed(l, f), nil
}

// regressed reports whether requests to a front machine ran as an older version says, although they were
// sent more than rollbackSlack after a back end had seen the effect of the newer version in a request to
// the same machine.
func regressed(l *lab, f *machine) bool {
	book.mu.Lock()
	defer book.mu.Unlock()
	sent := map[string]answer{}
	for _, a := range book.answers {
		if a.front == f.name {
			sent[a.id] = a
		}
	}
	runs := append([]run{}, book.runs...)
	sort.Slice(runs, func(i, j int) bool { return runs[i].at < runs[j].at })
	seen := time.Duration(-1)
	for _, r := range runs {
		if _, ok := sent[r.id]; ok && r.service == newService {
			seen = r.at
			break
		}
	}
	if seen < 0 {
		l.logf("no request to %s saw the new version", f.name)
		return false
	}
	n := 0
	var first run
	latest := time.Duration(0)
	for _, r := range runs {
		a, ok := sent[r.id]
		if ok && r.service == oldService && a.sent > seen+rollbackSlack {
			if n == 0 {
				first = r
			}
			n++
			latest = max(latest, a.sent-seen)
		}
	}
	l.logf("a back end saw the effect of version 2 at %.3f s by a request to %s; %d requests to it that were sent more than %v later ran by version 1, up to %.3f s later",
		seen.Seconds(), f.name, n, rollbackSlack, latest.Seconds())
	if n > 0 {
		l.logf("the first: %s, sent at %.3f s, ran at %.3f s at a back end of %s, from %s", first.id, sent[first.id].sent.Seconds(), first.at.Seconds(), first.service, first.from)
	}
	return n > 0
}

// restartBehindCut: a front machine is partitioned from all back ends. Its process is killed, starts again
// behind the partition, and serves nobody, while the other machines could serve its clients.
func restartBehindCut(l *lab, trouble bool) (bool, error) {
	return behindCut(l, trouble, os.Getenv("KILL") != "0", l.cutFront)
}

// acceptedAndReset: the connections of a front machine to the back ends are accepted and reset at once.
func acceptedAndReset(l *lab, trouble bool) (bool, error) {
	return behindCut(l, trouble, false, func(ip string) error {
		l.resetFront(ip)
		return nil
	})
}

// behindCut cuts a front machine off from the back ends, may kill its process, and counts its first tries.
func behindCut(l *lab, trouble, kill bool, cut func(ip string) error) (bool, error) {
	if err := l.deploy(); err != nil {
		return false, err
	}
	if err := l.addServers(150*time.Millisecond, oldService); err != nil {
		return false, err
	}
	m := version(1, oldService)
	m.services = []string{oldService}
	if err := l.startAll(m); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	f := l.fronts[0]
	from := l.now()
	const cutStart, cutTime = time.Second, 5500 * time.Millisecond
	end := from + cutStart + cutTime
	var g sync.WaitGroup
	for _, x := range l.fronts {
		g.Add(1)
		go func() {
			defer g.Done()
			l.newClient(x).load(20, end, http.MethodGet, "/lookup/1", 3*time.Second)
		}()
	}
	l.sleepUntil(from + cutStart)
	cutAt := l.now()
	if trouble {
		l.logf("%s is partitioned from all back ends", f.name)
		if err := cut(f.ip); err != nil {
			return false, err
		}
	}
	l.sleepUntil(cutAt + 300*time.Millisecond)
	if trouble && kill {
		l.logf("the process of %s is killed", f.name)
		f.kill()
		time.Sleep(300 * time.Millisecond)
		if err := f.run(); err != nil {
			return false, err
		}
	}
	startedAt := l.now()
	l.sleepUntil(end)
	l.logf("the partition ends")
	if err := cut(""); err != nil {
		return false, err
	}
	g.Wait()
	judgeFrom := max(cutAt, startedAt) + contact
	type count struct{ n, served int }
	var there, others count
	book.mu.Lock()
	defer book.mu.Unlock()
	failed := 0
	for _, a := range book.answers {
		if a.sent < judgeFrom || a.sent > end {
			continue
		}
		x := &others
		if a.front == f.name {
			x = &there
		}
		x.n++
		if a.err == nil && a.status == http.StatusOK && a.signed {
			x.served++
		} else if a.front == f.name {
			failed++
		}
	}
	share := func(c count) float64 { return float64(c.served) / float64(max(1, c.n)) }
	all := there.n + others.n
	l.logf("from %.3f s on: %d of %d first tries at %s were served, %d of %d at the others; %d failed there of %d in all (bound: 10 and 1 in 50)",
		judgeFrom.Seconds(), there.served, there.n, f.name, others.served, others.n, failed, all)
	return share(there) < share(others)*2/3 && failed > 10+all/50, nil
}

// maxRounds bounds the rounds of staleOrder, and freezeTime is how long the machine stands still in each.
const (
	maxRounds  = 10
	freezeTime = 4 * time.Second
)

// staleOrder: a core machine freezes while orders of the operator are on their way to it. The operator gets
// their confirmation from another one, and then sends later orders, which are confirmed too. Then the
// machine wakes.
func staleOrder(l *lab, trouble bool) (bool, error) {
	if err := l.deploy(); err != nil {
		return false, err
	}
	if err := l.addServers(50*time.Millisecond, oldService); err != nil {
		return false, err
	}
	m := version(1, oldService)
	m.services = []string{oldService}
	if err := l.startAll(m); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	frozen, others := l.cores[4], l.cores[:4]
	zones := l.zones[1:2]
	evacuate := func(list []*machine, verb string) error {
		var g sync.WaitGroup
		failed := make([]error, len(zones))
		for i, z := range zones {
			g.Add(1)
			go func() {
				defer g.Done()
				failed[i] = l.confirm(list, "/api/Evacuations."+verb+"/"+z, nil, 4*time.Second)
			}()
		}
		g.Wait()
		for _, err := range failed {
			if err != nil {
				return fmt.Errorf("%w: %v", errSetup, err)
			}
		}
		return nil
	}
	if err := evacuate(others, "Start"); err != nil {
		return false, err
	}
	for round := range maxRounds {
		l.logf("round %d", round+1)
		from := l.now()
		if trouble {
			frozen.signal(syscall.SIGSTOP)
		}
		if err := evacuate(append([]*machine{frozen}, others...), "End"); err != nil {
			return false, err
		}
		time.Sleep(500 * time.Millisecond)
		if err := evacuate(others, "Start"); err != nil {
			return false, err
		}
		confirmed := l.now()
		l.sleepUntil(from + freezeTime)
		if trouble {
			frozen.signal(syscall.SIGCONT)
		}
		// The front machines are in touch once the core has been calm for contact.
		judged := max(confirmed+evacuationGrace, l.now()+contact) + 500*time.Millisecond
		l.sleepUntil(judged)
		l.newClient(l.fronts[0]).load(40, judged+2*time.Second, http.MethodGet, "/lookup/1", 3*time.Second)
		if n := l.runsIn(zones, judged); n > 0 {
			l.logf("%d requests reached back ends of evacuated zones from %.3f s on; their evacuation was confirmed at %.3f s and not taken back since", n, judged.Seconds(), confirmed.Seconds())
			return true, nil
		}
		l.logf("no request reached a back end of an evacuated zone")
	}
	return false, nil
}

// runsIn returns how many requests ran in some zones since a time.
func (l *lab) runsIn(zones []string, since time.Duration) int {
	book.mu.Lock()
	defer book.mu.Unlock()
	n := 0
	for _, r := range book.runs {
		if r.at >= since && slices.Contains(zones, r.zone) {
			n++
		}
	}
	return n
}

// upgrade replaces the process of a machine by the present build, as planned work.
func (m *machine) upgrade() error {
	m.signal(syscall.SIGTERM)
	m.wait()
	m.program, m.firstStart = "", false
	return m.run()
}

// upgradeStopsChanges: a deployment of an earlier landed build is upgraded machine by machine. When the core
// and two front machines have the present build, a request crashes the back ends that begin to run it, and
// comes again, at one of these. Then the operator moves the route to another service.
func upgradeStopsChanges(l *lab, trouble bool) (bool, error) {
	former, err := filepath.Abs("target/former/eelplat")
	if err != nil {
		return false, err
	}
	if _, err := os.Stat(former); err != nil {
		return false, fmt.Errorf("%w: %v", errSetup, err)
	}
	if err := l.deploy(); err != nil {
		return false, err
	}
	for _, m := range append(append([]*machine{}, l.cores...), l.fronts...) {
		m.program = former
	}
	if err := l.addServers(100*time.Millisecond, oldService, newService); err != nil {
		return false, err
	}
	const deadly = "/lookup/deadly"
	for _, s := range l.servers {
		s.bad = func(s *server, w http.ResponseWriter, r *http.Request) bool {
			if r.URL.Path != deadly {
				return false
			}
			s.l.ran(run{s.l.now(), r.Header.Get("Attempt-Id"), r.URL.Path, s.id, s.zone, s.service, ""})
			go s.crash(3 * time.Second)
			<-r.Context().Done()
			return true
		}
	}
	if err := l.startAll(version(1, oldService)); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	for _, m := range l.cores {
		if err := m.upgrade(); err != nil {
			return false, err
		}
		time.Sleep(1500 * time.Millisecond)
	}
	upgraded, old := l.fronts[:2], l.fronts[2:]
	for _, m := range upgraded {
		if err := m.upgrade(); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	c := l.newClient(upgraded[0])
	for range 4 {
		if trouble {
			c.send(http.MethodGet, deadly, 2*time.Second)
		}
		time.Sleep(time.Second)
	}
	time.Sleep(contact)
	if err := l.put(version(2, newService)); err != nil {
		return false, fmt.Errorf("%w: %v", errSetup, err)
	}
	time.Sleep(configApply + 500*time.Millisecond)
	judged := l.now()
	var g sync.WaitGroup
	for _, m := range l.fronts {
		g.Add(1)
		go func() {
			defer g.Done()
			l.newClient(m).load(10, judged+3*time.Second, http.MethodGet, "/lookup/1", 3*time.Second)
		}()
	}
	g.Wait()
	n, all := 0, 0
	book.mu.Lock()
	defer book.mu.Unlock()
	for _, r := range book.runs {
		if r.at >= judged {
			all++
			if r.service == oldService {
				n++
			}
		}
	}
	l.logf("%d of %d requests that were sent later than %v after the confirmation of version 2 ran by version 1, by %d front machines of the former build", n, all, configApply, len(old))
	return n > 0, nil
}

// leaderByLog returns the core machine whose log tells the highest term as leader, or nil.
func (l *lab) leaderByLog() *machine {
	var leader *machine
	highest := -1
	for _, m := range l.cores {
		b, err := os.ReadFile(filepath.Join(l.dir, m.name+".log"))
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(b), "\n") {
			var x struct {
				Msg, Role string
				Term      int
			}
			if json.Unmarshal([]byte(line), &x) == nil && x.Msg == "leader changed" && x.Role == "leader" && x.Term > highest {
				leader, highest = m, x.Term
			}
		}
	}
	return leader
}

// replaceCore ends a core machine for good, and starts an empty one at another address in its zone.
func (l *lab) replaceCore(m *machine) error {
	l.logf("%s is gone for good", m.name)
	m.kill()
	l.setCores(slices.DeleteFunc(slices.Clone(l.cores), func(x *machine) bool { return x == m }))
	time.Sleep(100 * time.Millisecond)
	l.coresStarted++
	x := &machine{l: l, name: fmt.Sprintf("core-%s-%d", m.zone, l.coresStarted), role: "state", ip: l.ip(1, l.coresStarted), zone: m.zone}
	for _, y := range l.cores[:3] {
		x.seeds = append(x.seeds, fmt.Sprintf("%s:%d", y.ip, portControl))
	}
	if err := x.run(); err != nil {
		return err
	}
	l.setCores(append(slices.Clone(l.cores), x))
	return nil
}

// replacedInSeries: core machines are replaced by empty ones, one after the other. The next one goes when the
// successor of the last has run for catchUp, and contact beside.
func replacedInSeries(l *lab, trouble bool) (bool, error) {
	if err := l.deploy(); err != nil {
		return false, err
	}
	if err := l.addServers(100*time.Millisecond, oldService, newService); err != nil {
		return false, err
	}
	if err := l.startAll(version(1, oldService)); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if err := l.put(version(2, newService)); err != nil {
		return false, fmt.Errorf("%w: %v", errSetup, err)
	}
	first := slices.Clone(l.cores)
	for i := range 3 {
		leader := l.leaderByLog()
		// First a machine that does not lead, then the leader, then one of the others.
		n := slices.IndexFunc(first, func(m *machine) bool { return (m == leader) == (i == 1) })
		if n < 0 {
			return false, fmt.Errorf("%w: no machine to replace", errSetup)
		}
		if trouble {
			if err := l.replaceCore(first[n]); err != nil {
				return false, err
			}
		}
		first = slices.Delete(first, n, n+1)
		time.Sleep(catchUp + contact)
	}
	l.logf("all successors have run for %v at least", catchUp+contact)
	until := l.now() + 30*time.Second
	for n := 0; l.now() < until; n++ {
		m := l.cores[n%len(l.cores)]
		status, b, err := l.order(m, http.MethodGet, "/api/Config.Get", nil)
		l.logf("read back at %s: status %d, %d bytes, %v", m.name, status, len(b), err)
		if err == nil && status == http.StatusOK && strings.Contains(string(b), `"r2"`) {
			return false, nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	l.logf("version 2 was acknowledged and is not read back within 30 s")
	return true, nil
}
