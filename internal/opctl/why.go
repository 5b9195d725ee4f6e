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
	// before is how long before a request ended lines count as its surroundings:
	// the longest deadline and a lease.
	before = 10 * time.Second
	// maxLine bounds a log line.
	maxLine = 1 << 20
	// maxBeliefs bounds the lines that are shown of what the processes believed.
	maxBeliefs = 40
)

// beliefs are the lines that tell what a process believed, by their message.
var beliefs = []string{
	"starting", "stopping", "drained", "listening", "lease changed", "leader changed", "catalogue in force", "settings reloaded",
	"bad settings, the old ones stay in force", "routing submitted", "drain submitted", "target announced", "target withdrawn",
	"target fell silent", "target leaves", "target pauses", "log lines dropped",
}

type whyCmd struct {
	a    *app
	Args struct {
		Request string   `positional-arg-name:"REQUEST" description:"id of the request"`
		Files   []string `positional-arg-name:"LOG" required:"1" description:"log files of entries and replicas"`
	} `positional-args:"yes" required:"yes"`
}

// logLine is one line of a log, with what all lines have.
type logLine struct {
	Time    time.Time      `json:"time"`
	Process string         `json:"process"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// story is what the logs tell of a request.
type story struct {
	Request string `json:"request"`
	// Lines are those of the request itself.
	Lines []logLine `json:"lines"`
	// Beliefs are what the processes believed or changed shortly before it ended.
	Beliefs []logLine `json:"beliefs"`
	// Others counts the outcomes of other requests in the second in which it
	// ended, by target and outcome.
	Others map[string]int `json:"others"`
	// Skipped is how many lines could not be read.
	Skipped int `json:"skipped"`
}

// Execute prints what became of a request.
func (c *whyCmd) Execute([]string) error {
	var all []logLine
	s := &story{Request: c.Args.Request, Others: map[string]int{}}
	for _, f := range c.Args.Files {
		lines, skipped, err := readLog(f)
		if err != nil {
			return errs.New("eelctl why", KindUsage, err)
		}
		all = append(all, lines...)
		s.Skipped += skipped
	}
	slices.SortStableFunc(all, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	s.tell(all)
	if len(s.Lines) == 0 {
		return errs.Newf("eelctl why", KindUsage, "no line of the %d files names request %q", len(c.Args.Files), c.Args.Request)
	}
	return c.a.print(s, s.text)
}

// readLog reads the JSON lines of a file; others are counted.
func readLog(name string) (lines []logLine, skipped int, err error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, 0, err
	}
	defer f.Close()
	r := bufio.NewScanner(f)
	r.Buffer(nil, maxLine)
	for r.Scan() {
		l := logLine{}
		if json.Unmarshal(r.Bytes(), &l.Fields) != nil || !l.take() {
			skipped++
			continue
		}
		lines = append(lines, l)
	}
	return lines, skipped, r.Err()
}

// take moves what all lines have out of the fields, and tells whether it is there.
func (l *logLine) take() bool {
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

// tell picks the lines that explain the request.
func (s *story) tell(all []logLine) {
	for _, l := range all {
		if l.Fields["request"] == s.Request {
			s.Lines = append(s.Lines, l)
		}
	}
	if len(s.Lines) == 0 {
		return
	}
	end := s.Lines[len(s.Lines)-1].Time
	for _, l := range all {
		switch {
		case l.Time.After(end) || l.Time.Before(end.Add(-before)):
		case slices.Contains(beliefs, l.Message):
			s.Beliefs = append(s.Beliefs, l)
		case l.Fields["outcome"] != nil && l.Fields["request"] != s.Request && l.Time.After(end.Add(-time.Second)):
			s.Others[fmt.Sprintf("target %v: %v", l.Fields["target"], l.Fields["outcome"])]++
		}
	}
	s.Beliefs = s.Beliefs[max(0, len(s.Beliefs)-maxBeliefs):]
}

func (s *story) text(w io.Writer) {
	for _, l := range s.Lines {
		l.text(w)
	}
	fmt.Fprintf(w, "\nshortly before, on all processes\n")
	for _, l := range s.Beliefs {
		l.text(w)
	}
	fmt.Fprintf(w, "\nother requests in the last second before its end\n")
	for _, k := range slices.Sorted(maps.Keys(s.Others)) {
		fmt.Fprintf(w, "%s\t%d\n", k, s.Others[k])
	}
	if s.Skipped > 0 {
		fmt.Fprintf(w, "\n%d lines could not be read\n", s.Skipped)
	}
}

func (l logLine) text(w io.Writer) {
	fmt.Fprintf(w, "%s\t%s\t%s", l.Time.Format("15:04:05.000"), l.Process, l.Message)
	for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(w, " %s=%v", k, l.Fields[k])
	}
	fmt.Fprintln(w)
}
