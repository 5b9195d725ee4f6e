package opctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/internal/proxy"
	"github.com/eelgrassroad/eelgrassroad/internal/setup"
)

const (
	heldTimeout = 5 * time.Second
	// maxMetricsBytes limits the metrics response of one VM.
	maxMetricsBytes = 16 << 20
)

type heldCmd struct {
	a    *app
	Args struct {
		Metrics []string `positional-arg-name:"ADDR" required:"1" description:"metrics addresses of entries, IP:PORT"`
	} `positional-args:"yes" required:"yes"`
}

// heldTargets lists the targets that have asked one entry to send them no requests.
type heldTargets struct {
	Entry string             `json:"entry"`
	Held  []proxy.HeldTarget `json:"held"`
	// Error is the reason why the entry's metrics could not be read.
	Error string `json:"error,omitempty"`
}

// Execute shows which targets have announced that they leave or pause, and since when.
func (c *heldCmd) Execute([]string) error {
	for _, x := range c.Args.Metrics {
		if err := setup.CheckAddr("ADDR", x); err != nil {
			return errs.New("eelctl held", KindUsage, err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), heldTimeout)
	defer cancel()
	var list []heldTargets
	for _, x := range c.Args.Metrics {
		h := heldTargets{Entry: x}
		m, err := fetchMetrics(ctx, x)
		if err != nil {
			h.Error = err.Error()
		}
		h.Held = m.Held
		list = append(list, h)
	}
	return c.a.print(list, func(w io.Writer) { writeHeld(w, list) })
}

// fetchMetrics returns the proxy metrics of an entry.
func fetchMetrics(ctx context.Context, addr string) (proxy.Metrics, error) {
	var x struct {
		Program struct {
			Proxy proxy.Metrics `json:"front"`
		} `json:"eelplat"`
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/metrics", nil)
	if err != nil {
		return x.Program.Proxy, err
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return x.Program.Proxy, err
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return x.Program.Proxy, fmt.Errorf("metrics of %s: status %d", addr, a.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(a.Body, maxMetricsBytes)).Decode(&x)
	return x.Program.Proxy, err
}

func writeHeld(w io.Writer, list []heldTargets) {
	fmt.Fprintln(w, "ENTRY\tTARGET\tWHY\tSINCE\tFOR\tPER SECOND")
	for _, h := range list {
		if h.Error != "" {
			fmt.Fprintf(w, "%s\t-\t%s\t\t\t\n", h.Entry, h.Error)
		}
		for _, x := range h.Held {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", h.Entry, x.ID, x.Why, millis(x.SinceMillis), millis(x.ForMillis), perSecond(x.LimitPerSecond))
		}
	}
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// perSecond formats a limit; there is none if it is 0.
func perSecond(n float64) string {
	if n == 0 {
		return "-"
	}
	return strconv.FormatFloat(n, 'g', -1, 64)
}
