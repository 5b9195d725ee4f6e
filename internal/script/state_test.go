package script

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/internal/proc"
	"github.com/eelgrassroad/eelgrassroad/pkg/admin"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
	"github.com/rogpeppe/go-internal/testscript"
)

// cmdOld assigns the name "old" to the present leader: old leader.
func cmdOld(ts *testscript.TestScript, _ bool, _ []string) {
	d := deploymentOf(ts)
	d.oldLeader = ""
	p, err := d.get("leader")
	ts.Check(err)
	d.oldLeader = p.name
}

// cmdExits waits until a process exits by itself, and checks its exit code and
// log: exits NAME CODE REGEXP.
func cmdExits(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 3, "exits NAME CODE REGEXP")
	d := deploymentOf(ts)
	p, err := d.get(args[0])
	ts.Check(err)
	if err := p.Wait(exitTimeout); err != nil && !errs.Is(err, proc.KindExit) {
		ts.Fatalf("%s: %v", args[0], err)
	}
	b, err := os.ReadFile(filepath.Join(d.dir, args[0]+".log"))
	ts.Check(err)
	if got := p.State().ExitCode(); got != parseInt(ts, args[1]) {
		ts.Fatalf("%s exited with unexpected code %d:\n%s", args[0], got, b)
	}
	if !regexp.MustCompile(args[2]).Match(b) {
		ts.Fatalf("log of %s does not match %q:\n%s", args[0], args[2], b)
	}
}

// exitTimeout is the time within which a process must exit on an error that it
// finds only in the running deployment.
const exitTimeout = 20 * time.Second

// cmdTwin starts a second entry with the id of another: twin NAME.
func cmdTwin(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "twin NAME")
	d := deploymentOf(ts)
	p, err := d.get(args[0])
	ts.Check(err)
	ip := d.ip(4, 1)
	var rest []string
	for i, a := range p.Args {
		if a == "--listen" {
			rest = p.Args[:i]
			break
		}
	}
	ts.Check(d.add(args[0]+"-twin", filepath.Base(p.Path), ip, slices.Clone(rest)...))
}

// cmdDrain starts the drain of a fake target directly, even if its announcements
// do not reach the entries.
func cmdDrain(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "drain TARGET")
	p, err := deploymentOf(ts).get(args[0])
	ts.Check(err)
	res, err := http.Get("http://" + proxyAddr(p.ip) + "/fake/drain")
	ts.Check(err)
	res.Body.Close()
}

func (d *deployment) admin() *admin.Client {
	return admin.New(admin.Options{Addrs: d.replicas, Token: adminToken})
}

func drainOf(target string) model.Object {
	return model.Object{
		Kind: model.ObjectDrain, Name: target, Owner: "kalogeropoulos", Spec: fmt.Appendf(nil, "{\"target\":%q}", target),
	}
}

// cmdChanges makes N changes in sequence: changes N.
func cmdChanges(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "changes N")
	c := deploymentOf(ts).admin()
	ctx := context.Background()
	for i := range parseInt(ts, args[0]) {
		cat, err := c.Catalogue(ctx)
		ts.Check(err)
		_, err = c.Change(ctx, wire.Change{
			ChangeID: fmt.Sprintf("many-%d", i), BaseVersion: cat.Version, Put: []model.Object{drainOf(fmt.Sprintf("x%d", i%40))},
		})
		ts.Check(err)
	}
}

// racers is the number of concurrent operators.
const racers = 4

// cmdRace sends concurrent changes with equal base versions, and repeats this N
// times. Exactly one change must be accepted each time.
func cmdRace(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "race N")
	c := deploymentOf(ts).admin()
	for i := range parseInt(ts, args[0]) {
		cat, err := c.Catalogue(context.Background())
		ts.Check(err)
		if won := raceOnce(ts, c, cat.Version, i); won != 1 {
			ts.Fatalf("%d of %d changes with equal base versions were accepted, expected 1", won, racers)
		}
	}
}

func raceOnce(ts *testscript.TestScript, c *admin.Client, base model.Version, round int) int {
	results := make([]wire.ChangeResult, racers)
	e := make([]error, racers)
	var wg sync.WaitGroup
	for k := range racers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[k], e[k] = c.Change(context.Background(), wire.Change{
				ChangeID: fmt.Sprintf("race-%d-%d", round, k), BaseVersion: base,
				Put: []model.Object{drainOf(fmt.Sprintf("y%d", k))},
			})
		}()
	}
	wg.Wait()
	winner, won := "", 0
	for k := range racers {
		if e[k] == nil {
			won++
			winner = results[k].ChangeID
		}
	}
	for k := range racers {
		if e[k] == nil {
			continue
		}
		if !errs.Is(e[k], admin.KindConflict) || results[k].WinnerChangeID != winner {
			ts.Fatalf("rejected change %d names winner %q, expected %q: %v", k, results[k].WinnerChangeID, winner, e[k])
		}
	}
	return won
}

// cmdLogSize fails if the data directory of a replica exceeds a number of bytes:
// logsize BYTES.
func cmdLogSize(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "logsize BYTES")
	d := deploymentOf(ts)
	for i := range d.replicas {
		dir := d.data(fmt.Sprintf("state%d", i+1))
		names, err := filepath.Glob(filepath.Join(dir, "*"))
		ts.Check(err)
		sum := int64(0)
		for _, n := range names {
			s, err := os.Stat(n)
			ts.Check(err)
			sum += s.Size()
		}
		ts.Logf("%s: %d bytes in %d files", dir, sum, len(names))
		if sum > int64(parseInt(ts, args[0])) {
			ts.Fatalf("%s has %d bytes, above the limit", dir, sum)
		}
	}
}
