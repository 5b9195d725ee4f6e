package script

import (
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/eelgrassroad/eelgrassroad/internal/fakes"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
	"github.com/rogpeppe/go-internal/testscript"
)

// readLines reads a journal; the last line of a killed process may be cut.
func readLines[T any](ts *testscript.TestScript, name string) []T {
	f, err := os.Open(name)
	if os.IsNotExist(err) {
		return nil
	}
	ts.Check(err)
	defer f.Close()
	out, err := fakes.ReadJournal[T](f)
	ts.Check(err)
	return out
}

func endings(ts *testscript.TestScript) []fakes.LoadRecord {
	names, err := filepath.Glob(filepath.Join(of(ts).dir, "*.load"))
	ts.Check(err)
	var out []fakes.LoadRecord
	for _, n := range names {
		out = append(out, readLines[fakes.LoadRecord](ts, n)...)
	}
	return out
}

func cmdCheck(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1, "check WHAT [BOUND]")
	runs := readLines[fakes.Run](ts, of(ts).journal())
	ts.Logf("%d runs in the journal", len(runs))
	switch args[0] {
	case "once":
		checkOnce(ts, ofClass(runs, args[1:]))
	case "whole":
		checkWhole(ts, endings(ts))
	case "least":
		checkLeast(ts, endings(ts), number(ts, args[1]))
	case "truth":
		checkTruth(ts, runs, endings(ts))
	case "late":
		checkLate(ts, runs, int64(number(ts, args[1])))
	case "slots":
		checkSlots(ts, runs, number(ts, args[1]))
	case "shift":
		checkShift(ts, runs, number(ts, args[1]))
	case "link":
		checkLink(ts, int64(number(ts, args[1])), int64(number(ts, args[2])))
	case "cut":
		checkCut(ts, endings(ts))
	default:
		ts.Fatalf("check %q does not exist", args[0])
	}
}

func counts(runs []fakes.Run) map[model.RequestID]int {
	n := map[model.RequestID]int{}
	for _, r := range runs {
		n[r.Request]++
	}
	return n
}

// ofClass keeps the runs of a class, which is in the request ids of loads.
func ofClass(runs []fakes.Run, class []string) []fakes.Run {
	if len(class) == 0 {
		return runs
	}
	return slices.DeleteFunc(slices.Clone(runs), func(r fakes.Run) bool {
		return !strings.Contains(string(r.Request), "-"+class[0]+"-")
	})
}

func checkWhole(ts *testscript.TestScript, ends []fakes.LoadRecord) {
	for _, e := range ends {
		if e.Wrong {
			ts.Fatalf("request %s got a wrong or partial answer", e.Request)
		}
	}
}

func checkLeast(ts *testscript.TestScript, ends []fakes.LoadRecord, n int) {
	ts.Logf("%d requests in the journals", len(ends))
	if len(ends) < n {
		ts.Fatalf("only %d requests were sent, not %d", len(ends), n)
	}
}

func checkOnce(ts *testscript.TestScript, runs []fakes.Run) {
	for id, n := range counts(runs) {
		if n > 1 {
			ts.Fatalf("request %s ran %d times", id, n)
		}
	}
}

func checkTruth(ts *testscript.TestScript, runs []fakes.Run, ends []fakes.LoadRecord) {
	if len(ends) == 0 {
		ts.Fatalf("no load has a journal")
	}
	n := counts(runs)
	sum := map[wire.Outcome]int{}
	for _, e := range ends {
		sum[e.Outcome]++
		if e.Outcome == wire.NotRun && n[e.Request] > 0 {
			ts.Fatalf("request %s was told notRun (%s) and ran %d times", e.Request, e.Reason, n[e.Request])
		}
		if e.Outcome == wire.Answered && n[e.Request] == 0 {
			ts.Fatalf("request %s was answered and did not run", e.Request)
		}
	}
	ts.Logf("outcomes: %v", sum)
}

func checkLate(ts *testscript.TestScript, runs []fakes.Run, most int64) {
	worst := int64(-1)
	for _, r := range runs {
		worst = max(worst, r.SinceDrainMillis)
	}
	ts.Logf("latest work %d ms after a drain began", worst)
	if worst > most {
		ts.Fatalf("a target got work %d ms after it began to drain", worst)
	}
}

func checkSlots(ts *testscript.TestScript, runs []fakes.Run, most int) {
	for _, r := range runs {
		if r.InFlight > most {
			ts.Fatalf("target %s had %d requests at once", r.Target, r.InFlight)
		}
	}
}

// checkShift looks at every window of one second.
func checkShift(ts *testscript.TestScript, runs []fakes.Run, most int) {
	at := fakes.ShiftTimes(runs, regionOf)
	worst := fakes.MaxPerSecond(at)
	ts.Logf("%d requests shifted, at most %d in a second", len(at), worst)
	if worst > most {
		ts.Fatalf("%d requests were shifted in one second, more than %d", worst, most)
	}
}

// checkLink checks the most bytes that passed between two regions in a second,
// and that the link was used at all.
func checkLink(ts *testscript.TestScript, least, most int64) {
	worst := int64(0)
	for p, n := range of(ts).net.MostPerSecond() {
		ts.Logf("%s to %s: at most %d bytes in a second", p.From, p.To, n)
		worst = max(worst, n)
	}
	if worst > most || worst < least {
		ts.Fatalf("a link carried %d bytes in a second, not %d to %d", worst, least, most)
	}
}

func checkCut(ts *testscript.TestScript, ends []fakes.LoadRecord) {
	for _, e := range ends {
		if e.Outcome == wire.Unknown {
			ts.Fatalf("request %s was cut: %s", e.Request, e.Reason)
		}
	}
}
