package opctl

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/errs"
)

const (
	// contextWindow is the period before the end of a request from which state events are
	// shown. It covers the longest deadline and a lease.
	contextWindow = 10 * time.Second
	// maxLineBytes limits the length of a log line.
	maxLineBytes = 1 << 20
	// maxStateEvents limits the number of state events that are shown.
	maxStateEvents = 40
)

// stateEvents lists the log messages that record a state change of a process or a change of
// its view of the deployment.
var stateEvents = []string{
	"starting", "stopping", "drained", "listening", "lease changed", "leader changed", "catalogue in force", "settings reloaded",
	"bad settings, the old ones stay in force", "routing submitted", "drain submitted", "target announced", "target withdrawn",
	"target fell silent", "target leaves", "target pauses", "connections of a target broke", "target end reported", "request quarantine changed", "log lines dropped",
}

type whyCmd struct {
	a    *app
	Args struct {
		Request string   `positional-arg-name:"REQUEST" description:"id of the request"`
		Files   []string `positional-arg-name:"LOG" required:"1" description:"log files of entries and replicas"`
	} `positional-args:"yes" required:"yes"`
}

// logLine is a parsed log line, with the fields common to all lines taken out of Fields.
type logLine struct {
	Time    time.Time      `json:"time"`
	Process string         `json:"process"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// trace collects the log lines that explain the outcome of a request.
type trace struct {
	Request string `json:"request"`
	// Lines holds the log lines of the request itself.
	Lines []logLine `json:"lines"`
	// StateEvents holds the state events of all processes shortly before the request ended.
	StateEvents []logLine `json:"beliefs"`
	// OtherOutcomes counts the outcomes of other requests in the last second before the
	// request ended, by target and outcome.
	OtherOutcomes map[string]int `json:"others"`
	// Skipped is the number of lines that could not be parsed.
	Skipped int `json:"skipped"`
}

// Execute prints the log lines that explain the outcome of a request.
func (c *whyCmd) Execute([]string) error {
	var all []logLine
	t := &trace{Request: c.Args.Request, OtherOutcomes: map[string]int{}}
	for _, f := range c.Args.Files {
		lines, skipped, err := readLog(f)
		if err != nil {
			return errs.New("eelctl why", KindUsage, err)
		}
		all = append(all, lines...)
		t.Skipped += skipped
	}
	slices.SortStableFunc(all, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	t.collect(all)
	if len(t.Lines) == 0 {
		return errs.Newf("eelctl why", KindUsage, "no line of the %d files names request %q", len(c.Args.Files), c.Args.Request)
	}
	return c.a.print(t, t.text)
}

// readLog parses the JSON log lines of a file and counts the lines that it cannot parse.
func readLog(name string) (lines []logLine, skipped int, err error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, 0, err
	}
	defer f.Close()
	r := bufio.NewScanner(f)
	r.Buffer(nil, maxLineBytes)
	for r.Scan() {
		l := logLine{}
		if json.Unmarshal(r.Bytes(), &l.Fields) != nil || !l.extractCommon() {
			skipped++
			continue
		}
		lines = append(lines, l)
	}
	return lines, skipped, r.Err()
}

// extractCommon moves the fields common to all lines out of Fields and reports whether the
// time and the message are present.
func (l *logLine) extractCommon() bool {
	at, _ := l.Fields["ts"].(string)
	t, err := time.Parse(time.RFC3339Nano, at)
	if err != nil {
		return false
	}
	l.Time = t
	l.Process, _ = l.Fields["id"].(string)
	l.Message, _ = l.Fields["msg"].(string)
	for _, k := range []string{"ts", "id", "msg", "program", "level"} {
		delete(l.Fields, k)
	}
	return l.Message != ""
}

// collect selects the lines that explain the request from all, which is sorted by time.
func (t *trace) collect(all []logLine) {
	for _, l := range all {
		if l.Fields["request"] == t.Request {
			t.Lines = append(t.Lines, l)
		}
	}
	if len(t.Lines) == 0 {
		return
	}
	end := t.Lines[len(t.Lines)-1].Time
	for _, l := range all {
		switch {
		case l.Time.After(end) || l.Time.Before(end.Add(-contextWindow)):
		case slices.Contains(stateEvents, l.Message):
			t.StateEvents = append(t.StateEvents, l)
		case l.Fields["outcome"] != nil && l.Fields["request"] != t.Request && l.Time.After(end.Add(-time.Second)):
			t.OtherOutcomes[fmt.Sprintf("target %v: %v", l.Fields["target"], l.Fields["outcome"])]++
		}
	}
	t.StateEvents = t.StateEvents[max(0, len(t.StateEvents)-maxStateEvents):]
}

func (t *trace) text(w io.Writer) {
	for _, l := range t.Lines {
		l.text(w)
	}
	fmt.Fprintf(w, "\nshortly before, on all processes\n")
	for _, l := range t.StateEvents {
		l.text(w)
	}
	fmt.Fprintf(w, "\nother requests in the last second before its end\n")
	for _, k := range slices.Sorted(maps.Keys(t.OtherOutcomes)) {
		fmt.Fprintf(w, "%s\t%d\n", k, t.OtherOutcomes[k])
	}
	if t.Skipped > 0 {
		fmt.Fprintf(w, "\n%d lines could not be read\n", t.Skipped)
	}
}

func (l logLine) text(w io.Writer) {
	fmt.Fprintf(w, "%s\t%s\t%s", l.Time.Format("15:04:05.000"), l.Process, l.Message)
	for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(w, " %s=%v", k, l.Fields[k])
	}
	fmt.Fprintln(w)
}
