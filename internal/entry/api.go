package entry

import (
	"bytes"
	"cmp"
	"expvar"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/burn"
	"github.com/eelgrassroad/eelgrassroad/internal/pool"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
	"github.com/labstack/echo/v4"
)

func (x *Entry) routes() {
	x.e.HideBanner = true
	x.e.GET(wire.PathEntries, x.list)
	x.e.Any(wire.PathServices+"/:service/:class", x.serve)
	x.e.Any(wire.PathServices+"/:service/:class/*", x.serve)
	x.e.POST(wire.PathAnnounce, x.announce)
	x.e.POST(pathHop, x.hopHandler())
	x.e.POST(pathRest, x.restHandler())
	x.e.GET(wire.PathBurn, func(c echo.Context) error { return c.JSON(http.StatusOK, x.book.Snapshot()) })
	x.e.GET(wire.PathVM, func(c echo.Context) error { return c.JSON(http.StatusOK, x.Status()) })
	for _, p := range []string{wire.PathCatalogue, wire.PathChanges, wire.PathChanges + "/:id", wire.PathStatus, wire.PathReplicas} {
		x.e.Any(p, x.relay)
	}
	x.e.GET(wire.PathHealth, func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	x.e.GET("/readyz", x.ready)
	x.e.GET("/debug/vars", echo.WrapHandler(expvar.Handler()))
}

func (x *Entry) ready(c echo.Context) error {
	if !x.valid() || x.leaving.Load() {
		return c.String(http.StatusServiceUnavailable, "no lease is held, or the entry is leaving\n")
	}
	return c.NoContent(http.StatusOK)
}

// LinkStatus is the share of one resource.
type LinkStatus struct {
	Resource    string  `json:"resource"`
	Share       int64   `json:"share"`
	Utilization float64 `json:"use"`
}

// Status is what an entry tells operators about itself.
type Status struct {
	ID            model.VMID            `json:"id"`
	FailureDomain model.FailureDomainID `json:"failureDomain"`
	Version       model.Version         `json:"version"`
	LeaseMillis   model.Millis          `json:"leaseMillis"`
	// ProofMillis is how long ago the leader proved that the version is the newest, or
	// below 0 where it never did.
	ProofMillis model.Millis `json:"proofMillis"`
	Leaving     bool         `json:"leaving"`
	InFlight    int          `json:"inFlight"`
	Shares      []LinkStatus `json:"shares"`
}

// Status returns the entry's state.
func (x *Entry) Status() Status {
	x.lease.mu.Lock()
	left := max(0, x.lease.until-x.now())
	x.lease.mu.Unlock()
	s := Status{
		ID: x.o.ID, FailureDomain: x.o.Domain, Version: x.config.version(), Leaving: x.leaving.Load(),
		LeaseMillis: model.Millis(left.Milliseconds()), InFlight: x.pools.inFlight(),
	}
	s.ProofMillis = -1
	if ago, ok := x.ConfirmationAge(); ok {
		s.ProofMillis = model.Millis(ago.Milliseconds())
	}
	shares, _ := x.limits.report(x.now())
	for _, r := range shares {
		s.Shares = append(s.Shares, LinkStatus{Resource: r.Resource, Share: r.Amount, Utilization: x.limits.get(r.Resource).Utilization(x.now())})
	}
	slices.SortFunc(s.Shares, func(a, b LinkStatus) int { return cmp.Compare(a.Resource, b.Resource) })
	return s
}

// Metrics is what an entry shows under /debug/vars.
type Metrics struct {
	Status
	Counts map[string]burn.Counts `json:"counts"`
	// Refusals are the times of refusals by the delivery of their classes.
	Refusals map[model.Delivery]RefusalTimes `json:"refusals"`
	// ControlBytes is counted since the start.
	ControlBytes ControlBytes `json:"controlBytes"`
}

// Metrics returns the entry's state and counts by service, class and policy.
func (x *Entry) Metrics() Metrics {
	m := Metrics{
		Status: x.Status(), Counts: map[string]burn.Counts{},
		Refusals: x.refusals.times(), ControlBytes: x.state.meter.bytes(),
	}
	for _, s := range x.book.Snapshot() {
		m.Counts[fmt.Sprintf("%s/%s/%s", s.Service, s.Class, s.Policy)] = s.Counts
	}
	return m
}

// OwnedSlots returns how many requests the entry may have in progress at its own targets.
func (x *Entry) OwnedSlots() int {
	n := 0
	x.pools.each(func(_ model.ServiceID, p *pool.Pool) {
		for _, l := range p.Loads() {
			n += l.Slots
		}
	})
	return n
}

// Burn returns what the entry counted.
func (x *Entry) Burn() []burn.Series { return x.book.Snapshot() }

// list answers which entries a caller should use.
func (x *Entry) list(c echo.Context) error {
	v := x.view.Load()
	if v == nil {
		return c.JSON(http.StatusServiceUnavailable, wire.Failure{Error: "entry has no catalogue yet"})
	}
	home := model.RegionID(c.QueryParam("region"))
	if home == "" {
		home = v.catalogue.RegionOf(x.o.Domain)
	}
	if _, ok := v.catalogue.Regions[home]; !ok {
		return c.JSON(http.StatusBadRequest, wire.Failure{Error: "region \"" + string(home) + "\" does not exist"})
	}
	a := wire.Entries{TTLMillis: model.Millis(x.o.ListLife.Milliseconds())}
	a.Entries = x.rank(v.catalogue, home, c.RealIP(), false)
	return c.JSON(http.StatusOK, a)
}

// rank lists the entries that stay, nearest to a region first, in an order of the
// caller's own. Entries of drained failure domains are among them only where asked for.
func (x *Entry) rank(c *model.Catalogue, home model.RegionID, caller string, drained bool) []wire.Entry {
	var out []wire.Entry
	for _, r := range x.directory.reports() {
		if r.VM.Leaving || r.VM.Id == string(x.o.ID) && x.leaving.Load() {
			continue
		}
		d := model.FailureDomainID(r.VM.FailureDomain)
		if !drained && c.Drained(d, "") {
			continue
		}
		out = append(out, wire.Entry{ID: model.VMID(r.VM.Id), Addr: r.VM.Addr, FailureDomain: d, Region: c.RegionOf(d)})
	}
	slices.SortFunc(out, func(a, b wire.Entry) int {
		return cmp.Or(
			cmp.Compare(regionDelay(c, home, a.Region), regionDelay(c, home, b.Region)),
			cmp.Compare(mix(caller, string(a.ID)), mix(caller, string(b.ID))),
		)
	})
	return out
}

func regionDelay(c *model.Catalogue, from, to model.RegionID) time.Duration {
	if from == to {
		return 0
	}
	l, ok := c.Link(from, to)
	if !ok {
		return time.Hour
	}
	return max(1, l.DelayMillis.Duration())
}

func mix(a, b string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(a))
	h.Write([]byte{0})
	h.Write([]byte(b))
	return h.Sum64()
}

// neighbours returns the addresses of other entries that stay, nearest first.
func (x *Entry) neighbours(id model.TargetID, most int) []string {
	v := x.view.Load()
	if v == nil {
		return nil
	}
	var out []string
	for _, e := range x.rank(v.catalogue, v.catalogue.RegionOf(x.o.Domain), string(id), false) {
		if e.ID != x.o.ID && len(out) < most {
			out = append(out, e.Addr)
		}
	}
	return out
}

const (
	maxRelayed   = 16 << 20
	relayTimeout = 5 * time.Second
)

// relay passes an operator's call to the leading replica.
func (x *Entry) relay(c echo.Context) error {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxRelayed))
	if err != nil {
		return c.JSON(http.StatusBadRequest, wire.Failure{Error: err.Error()})
	}
	until := x.now() + relayTimeout
	for {
		addr, _ := x.state.current()
		res, err := x.relayTo(c, addr, body)
		if err == nil && res.StatusCode != http.StatusMisdirectedRequest {
			defer res.Body.Close()
			return c.Stream(res.StatusCode, res.Header.Get("Content-Type"), res.Body)
		}
		if err == nil {
			x.state.misdirected(addr, res.Header.Get(wire.HeaderLeader))
			res.Body.Close()
		} else {
			x.state.failed(addr, err)
		}
		if x.now() > until || c.Request().Context().Err() != nil {
			return c.JSON(http.StatusServiceUnavailable, wire.Failure{Error: "no leading replica answers; the outcome is unknown", Outcome: wire.Unknown})
		}
		sleep(c.Request().Context(), retryPause)
	}
}

func (x *Entry) relayTo(c echo.Context, addr string, body []byte) (*http.Response, error) {
	r := c.Request()
	q, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+addr+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	q.Header.Set("Authorization", r.Header.Get("Authorization"))
	return x.state.c.Do(q)
}
