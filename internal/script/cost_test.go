package script

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/entry"
	"github.com/rogpeppe/go-internal/testscript"
)

// cost is the resource use of a process up to a point in time.
type cost struct {
	at       time.Time
	cpu      time.Duration
	bytes    int64
	resident int64
}

const (
	// ticksPerSecond is the number of clock ticks, the unit of CPU time in /proc, in a second.
	ticksPerSecond = 100
	// firstField is the index of the first field of /proc/PID/stat after the process
	// name; fields are counted from 0.
	firstField = 2
	userField  = 13
	sysField   = 14
	rssField   = 23
	kilobyte   = 1000
	megabyte   = 1000 * kilobyte
	percentage = 100
)

// cmdCost measures CPU, memory and bandwidth that an idle entry uses for control
// traffic, and fails above the limits: cost NAME LENGTH CORE% MEGABYTES BYTES/S.
func cmdCost(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 5, "cost NAME LENGTH CORE% MEGABYTES BYTES/S")
	p, err := deploymentOf(ts).get(args[0])
	ts.Check(err)
	a := costOf(ts, p)
	time.Sleep(parseDuration(ts, args[1]))
	b := costOf(ts, p)
	d := b.at.Sub(a.at).Seconds()
	core := percentage * (b.cpu - a.cpu).Seconds() / d
	rate := float64(b.bytes-a.bytes) / d
	mb := float64(b.resident) / megabyte
	ts.Logf("%s: %.2f %% of a core, %.1f MB resident, %.0f bytes/s of control", args[0], core, mb, rate)
	for i, x := range []float64{core, mb, rate} {
		limit, err := strconv.ParseFloat(args[i+2], 64)
		ts.Check(err)
		if x > limit {
			ts.Fatalf("%.2f exceeds the limit of %.2f", x, limit)
		}
	}
}

func costOf(ts *testscript.TestScript, p *process) cost {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	ts.Check(err)
	_, rest, _ := strings.Cut(string(b), ") ")
	f := strings.Fields(rest)
	field := func(n int) int64 {
		x, err := strconv.ParseInt(f[n-firstField], 10, 64)
		ts.Check(err)
		return x
	}
	out, err := deploymentOf(ts).httpGet([]string{p.name, "/debug/vars"})
	ts.Check(err)
	var v struct {
		Metrics entry.Metrics `json:"eelentry"`
	}
	_, body, _ := strings.Cut(out, " ")
	ts.Check(json.Unmarshal([]byte(body), &v))
	return cost{
		at:       time.Now(),
		cpu:      time.Duration(field(userField)+field(sysField)) * time.Second / ticksPerSecond,
		bytes:    v.Metrics.ControlBytes.Sent + v.Metrics.ControlBytes.Received,
		resident: field(rssField) * int64(os.Getpagesize()),
	}
}
