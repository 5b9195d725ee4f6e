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

// readLines reads a journal; the last line of a killed process may be truncated.
// A journal that does not exist is empty.
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

func loadRecords(ts *testscript.TestScript) []fakes.LoadRecord {
	names, err := filepath.Glob(filepath.Join(deploymentOf(ts).dir, "*.load"))
	ts.Check(err)
	var out []fakes.LoadRecord
	for _, n := range names {
		out = append(out, readLines[fakes.LoadRecord](ts, n)...)
	}
	return out
}

func cmdCheck(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "check WHAT [BOUND]")
	runs := readLines[fakes.Run](ts, deploymentOf(ts).journal())
	ts.Logf("%d runs in the journal", len(runs))
	switch args[0] {
	case "once":
		checkOnce(ts, ofClass(runs, args[1:]))
	case "whole":
		checkWhole(ts, loadRecords(ts))
	case "least":
		checkLeast(ts, loadRecords(ts), parseInt(ts, args[1]))
	case "truth":
		checkTruth(ts, runs, loadRecords(ts))
	case "late":
		checkLate(ts, runs, int64(parseInt(ts, args[1])))
	case "slots":
		checkSlots(ts, runs, parseInt(ts, args[1]))
	case "shift":
		checkShift(ts, runs, parseInt(ts, args[1]))
	case "link":
		checkLink(ts, int64(parseInt(ts, args[1])), int64(parseInt(ts, args[2])))
	case "cut":
		checkCut(ts, loadRecords(ts))
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

// ofClass returns the runs of a class, which loads write into the request ids.
func ofClass(runs []fakes.Run, class []string) []fakes.Run {
	if len(class) == 0 {
		return runs
	}
	return slices.DeleteFunc(slices.Clone(runs), func(r fakes.Run) bool {
		return !strings.Contains(string(r.Request), "-"+class[0]+"-")
	})
}

func checkWhole(ts *testscript.TestScript, records []fakes.LoadRecord) {
	for _, e := range records {
		if e.Wrong {
			ts.Fatalf("request %s got a wrong or partial answer", e.Request)
		}
	}
}

func checkLeast(ts *testscript.TestScript, records []fakes.LoadRecord, n int) {
	ts.Logf("%d requests in the journals", len(records))
	if len(records) < n {
		ts.Fatalf("%d requests were sent, expected at least %d", len(records), n)
	}
}

func checkOnce(ts *testscript.TestScript, runs []fakes.Run) {
	for id, n := range counts(runs) {
		if n > 1 {
			ts.Fatalf("request %s ran %d times", id, n)
		}
	}
}

func checkTruth(ts *testscript.TestScript, runs []fakes.Run, records []fakes.LoadRecord) {
	if len(records) == 0 {
		ts.Fatalf("no load wrote a journal record")
	}
	n := counts(runs)
	sum := map[wire.Outcome]int{}
	for _, e := range records {
		sum[e.Outcome]++
		if e.Outcome == wire.NotRun && n[e.Request] > 0 {
			ts.Fatalf("request %s ended as notRun (%s) but ran %d times", e.Request, e.Reason, n[e.Request])
		}
		if e.Outcome == wire.Answered && n[e.Request] == 0 {
			ts.Fatalf("request %s was answered but did not run", e.Request)
		}
	}
	ts.Logf("outcomes: %v", sum)
}

func checkLate(ts *testscript.TestScript, runs []fakes.Run, limit int64) {
	worst := int64(-1)
	for _, r := range runs {
		worst = max(worst, r.SinceDrainMillis)
	}
	ts.Logf("latest work %d ms after a drain began", worst)
	if worst > limit {
		ts.Fatalf("a target received a request %d ms after it began to drain, above the limit", worst)
	}
}

func checkSlots(ts *testscript.TestScript, runs []fakes.Run, limit int) {
	for _, r := range runs {
		if r.InFlight > limit {
			ts.Fatalf("target %s had %d requests in flight, above the limit", r.Target, r.InFlight)
		}
	}
}

// checkShift limits the shifted requests in every window of one second.
func checkShift(ts *testscript.TestScript, runs []fakes.Run, limit int) {
	at := fakes.ShiftTimes(runs, regionOf)
	worst := fakes.MaxPerSecond(at)
	ts.Logf("%d requests shifted, at most %d in a second", len(at), worst)
	if worst > limit {
		ts.Fatalf("%d requests were shifted in one second, max %d", worst, limit)
	}
}

// checkLink checks the maximum number of bytes that passed between two regions in
// a second; the lower bound makes sure that a link was used at all.
func checkLink(ts *testscript.TestScript, minBytes, maxBytes int64) {
	worst := int64(0)
	for p, n := range deploymentOf(ts).net.MaxBytesPerSecond() {
		ts.Logf("%s to %s: at most %d bytes in a second", p.From, p.To, n)
		worst = max(worst, n)
	}
	if worst > maxBytes || worst < minBytes {
		ts.Fatalf("a link carried at most %d bytes in a second, expected %d to %d", worst, minBytes, maxBytes)
	}
}

func checkCut(ts *testscript.TestScript, records []fakes.LoadRecord) {
	for _, e := range records {
		if e.Outcome == wire.Unknown {
			ts.Fatalf("request %s ended as unknown: %s", e.Request, e.Reason)
		}
	}
}
