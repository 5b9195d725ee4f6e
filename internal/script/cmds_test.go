package script

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	pollInterval = 50 * time.Millisecond
	// settleTime is two renewal intervals, after which the directories of all entries
	// contain the sites of all owners.
	settleTime = time.Second
)

type cmdFunc func(ts *testscript.TestScript, neg bool, args []string)

var commands map[string]func(ts *testscript.TestScript, neg bool, args []string)

func init() {
	commands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
		"state": cmdState, "entry": cmdEntry, "target": cmdTarget, "restart": cmdRestart, "apply": cmdApply,
		"ready": cmdReady, "halt": cmdHalt, "crash": forEachProcess((*deployment).kill), "freeze": forEachProcess((*deployment).freeze),
		"thaw": forEachProcess((*deployment).thaw), "cut": cmdCut(true), "lose": cmdLose(true), "return": cmdLose(false), "cutoff": cmdCutOff(true), "rejoin": cmdCutOff(false), "heal": cmdCut(false), "wipe": cmdWipe,
		"fault": cmdFault, "call": printing((*deployment).call), "ctl": printing((*deployment).ctl),
		"leader": printing((*deployment).leader), "get": printing((*deployment).httpGet),
		"load": cmdLoad, "loadwait": cmdLoadWait, "expect": cmdExpect, "never": cmdNever, "sleep": cmdSleep, "check": cmdCheck, "drain": cmdDrain,
		"old": cmdOld, "changes": cmdChanges, "race": cmdRace, "exits": cmdExits, "twin": cmdTwin, "logsize": cmdLogSize,
		"cost": cmdCost,
	}
}

func deploymentOf(ts *testscript.TestScript) *deployment {
	return ts.Value(deploymentKey{}).(*deployment)
}

func requireArgs(ts *testscript.TestScript, args []string, n int, usage string) {
	if len(args) < n {
		ts.Fatalf("usage: %s", usage)
	}
}

func parseInt(ts *testscript.TestScript, s string) int {
	n, err := strconv.Atoi(s)
	ts.Check(err)
	return n
}

func parseDuration(ts *testscript.TestScript, s string) time.Duration {
	d, err := time.ParseDuration(s)
	ts.Check(err)
	return d
}

func cmdState(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "state N")
	d := deploymentOf(ts)
	ts.Check(d.addStates(parseInt(ts, args[0])))
	for i, r := range d.replicas {
		ts.Setenv(fmt.Sprintf("STATE%d", i+1), r)
	}
}

func cmdEntry(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 2, "entry NAME DOMAIN")
	ts.Check(deploymentOf(ts).addEntry(args[0], args[1], args[2:]...))
}

func cmdTarget(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 3, "target NAME SERVICE DOMAIN [flags...]")
	ts.Check(deploymentOf(ts).addTarget(args[0], args[1], args[2], args[3:]...))
}

func cmdRestart(ts *testscript.TestScript, _ bool, args []string) {
	d := deploymentOf(ts)
	for _, a := range args {
		p, err := d.get(a)
		ts.Check(err)
		ts.Check(p.Start())
	}
	if len(args) > 0 {
		return
	}
	for _, p := range d.procs {
		if !p.Running() {
			ts.Check(p.Start())
		}
	}
}

func cmdHalt(ts *testscript.TestScript, neg bool, args []string) {
	for _, a := range args {
		p, err := deploymentOf(ts).get(a)
		ts.Check(err)
		if err := p.Stop(stopTimeout); (err != nil) != neg {
			ts.Fatalf("halt %s: %v", a, err)
		}
	}
}

func forEachProcess(f func(d *deployment, p *process) error) cmdFunc {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		for _, a := range args {
			p, err := deploymentOf(ts).get(a)
			ts.Check(err)
			ts.Check(f(deploymentOf(ts), p))
		}
	}
}

func (d *deployment) kill(p *process) error {
	p.Kill()
	return nil
}

func (d *deployment) freeze(p *process) error {
	return d.withLogTail(p, p.Freeze())
}

func (d *deployment) thaw(p *process) error {
	return d.withLogTail(p, p.Thaw())
}

// withLogTail adds the state of a process that should run, and the end of its log, to an error.
func (d *deployment) withLogTail(p *process, err error) error {
	if err == nil {
		return nil
	}
	b, _ := os.ReadFile(filepath.Join(d.dir, p.name+".log"))
	return fmt.Errorf("%s: %w (%v); end of its log:\n%s", p.name, err, p.State(), b[max(0, len(b)-logTailBytes):])
}

// logTailBytes is the number of bytes of a log in an error.
const logTailBytes = 4000

func cmdCut(cut bool) cmdFunc {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		requireArgs(ts, args, 2, "cut NAME NAME...")
		d := deploymentOf(ts)
		a, err := d.get(args[0])
		ts.Check(err)
		for _, n := range args[1:] {
			b, err := d.get(n)
			ts.Check(err)
			if cut {
				d.net.Cut(a.ip, b.ip)
			} else {
				d.net.Heal(a.ip, b.ip)
			}
		}
	}
}

// cmdLose partitions processes from all others and from callers, like the loss of
// their region; they still reach each other.
func cmdLose(lost bool) cmdFunc {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		requireArgs(ts, args, 1, "lose NAME...")
		d := deploymentOf(ts)
		var hosts []string
		for _, a := range args {
			p, err := d.get(a)
			ts.Check(err)
			hosts = append(hosts, p.ip)
		}
		if lost {
			d.net.Isolate(hosts)
			return
		}
		d.net.Rejoin(hosts)
	}
}

// cmdCutOff partitions a replica from the other replicas.
func cmdCutOff(cut bool) cmdFunc {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		requireArgs(ts, args, 1, "cutoff REPLICA")
		d := deploymentOf(ts)
		a, err := d.get(args[0])
		ts.Check(err)
		for i := range d.replicas {
			b := d.procs[fmt.Sprintf("state%d", i+1)]
			if cut {
				d.net.Cut(a.ip, b.ip)
			} else {
				d.net.Heal(a.ip, b.ip)
			}
		}
	}
}

func cmdWipe(ts *testscript.TestScript, _ bool, args []string) {
	for _, a := range args {
		ts.Check(os.RemoveAll(deploymentOf(ts).data(a)))
	}
}

func cmdFault(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 2, "fault TARGET KIND")
	p, err := deploymentOf(ts).get(args[0])
	ts.Check(err)
	kind := args[1]
	if kind == "none" {
		kind = ""
	}
	res, err := http.Get("http://" + proxyAddr(p.ip) + "/fake/fault?kind=" + kind)
	ts.Check(err)
	res.Body.Close()
}

func cmdSleep(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "sleep LENGTH")
	time.Sleep(parseDuration(ts, args[0]))
}

func cmdApply(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "apply FILE")
	d := deploymentOf(ts)
	retryUntil(ts, 30*time.Second, "apply", func() error {
		_, err := d.ctl([]string{"apply", "-f", ts.MkAbs(args[0])})
		return err
	})
}

// retryUntil repeats a function until it succeeds, and fails the test after d.
func retryUntil(ts *testscript.TestScript, d time.Duration, what string, f func() error) {
	end := time.Now().Add(d)
	for {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			ts.Fatalf("%s: no success within %s: %v", what, d, err)
		}
		time.Sleep(pollInterval)
	}
}

func cmdReady(ts *testscript.TestScript, _ bool, args []string) {
	d := deploymentOf(ts)
	limit := 30 * time.Second
	if len(args) > 0 {
		limit = parseDuration(ts, args[0])
	}
	retryUntil(ts, limit, "ready", d.ready)
}

func (d *deployment) ready() error {
	for _, e := range d.entries {
		if !d.procs[e].Running() || d.procs[e].Frozen() {
			continue
		}
		if err := getOK("http://" + proxyAddr(d.procs[e].ip) + "/readyz"); err != nil {
			return err
		}
	}
	out, err := d.ctl([]string{"status", "-o", "json"})
	if err != nil {
		return err
	}
	var s struct {
		Targets []struct {
			ID, Owner string
			Ready     bool
		}
	}
	if err := json.Unmarshal([]byte(out), &s); err != nil {
		return err
	}
	owned := map[string]bool{}
	for _, t := range s.Targets {
		owned[t.ID] = t.Owner != "" && t.Ready
	}
	for _, t := range d.targets {
		if d.procs[t].Running() && !owned[t] {
			return fmt.Errorf("target %s has no owner or is not ready", t)
		}
	}
	time.Sleep(settleTime)
	return nil
}

func getOK(url string) error {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get(url)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", url, res.StatusCode)
	}
	return nil
}

func cmdExpect(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 3, "expect TIMEOUT REGEXP COMMAND...")
	re := regexp.MustCompile(args[1])
	retryUntil(ts, parseDuration(ts, args[0]), strings.Join(args[2:], " "), func() error {
		out, err := output(ts, args[2:])
		if !re.MatchString(out) {
			return fmt.Errorf("output %q does not match %q (%v)", out, re, err)
		}
		return nil
	})
}

func cmdNever(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 3, "never LENGTH REGEXP COMMAND...")
	re := regexp.MustCompile(args[1])
	end := time.Now().Add(parseDuration(ts, args[0]))
	for time.Now().Before(end) {
		if out, _ := output(ts, args[2:]); re.MatchString(out) {
			ts.Fatalf("output %q matches %q", out, re)
		}
		time.Sleep(pollInterval)
	}
}

func output(ts *testscript.TestScript, args []string) (string, error) {
	d := deploymentOf(ts)
	f := map[string]func(*deployment, []string) (string, error){
		"call": (*deployment).call, "ctl": (*deployment).ctl, "leader": (*deployment).leader, "get": (*deployment).httpGet,
	}[args[0]]
	if f == nil {
		ts.Fatalf("command %q has no output", args[0])
	}
	return f(d, args[1:])
}

func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 2, "load NAME [flags...]")
	d := deploymentOf(ts)
	a := []string{"load", "--prefix", args[0], "--journal", filepath.Join(d.dir, args[0]+".load")}
	for _, e := range d.entryAddrs() {
		a = append(a, "--entry", e)
	}
	l := &load{cmd: exec.Command(filepath.Join(binaries, "eelfake"), append(a, args[1:]...)...), out: &bytes.Buffer{}, done: make(chan error, 1)}
	l.cmd.Stdout, l.cmd.Stderr = l.out, l.out
	ts.Check(l.cmd.Start())
	go func() { l.done <- l.cmd.Wait() }()
	d.loads[args[0]] = l
}

func cmdLoadWait(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "loadwait NAME")
	l, ok := deploymentOf(ts).loads[args[0]]
	if !ok {
		ts.Fatalf("load %q does not exist", args[0])
	}
	err := <-l.done
	l.done <- err
	_, werr := io.WriteString(ts.Stdout(), l.out.String())
	ts.Check(werr)
	ts.Logf("%s", l.out.String())
	ts.Check(err)
}
