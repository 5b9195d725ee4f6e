package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/pool"
	"github.com/eelgrassroad/eelgrassroad/internal/setup"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
	"github.com/labstack/echo/v4"
)

const (
	announceInterval model.Millis = 500
	// reportTTL is how long after its last announcement a target is reported to the leader.
	reportTTL = 5 * time.Second
	// maxAnnouncementBytes limits the body of an announcement.
	maxAnnouncementBytes = 64 << 10
)

// announcements holds the latest announcement of each target that announces to this entry,
// and the owner of each target.
type announcements struct {
	mu     sync.Mutex
	m      map[model.TargetID]*announcement
	owners map[model.TargetID]*eelpb.TargetOwner
}

type announcement struct {
	a wire.Announcement
	// notBefore is a lower bound of the time at which the announcement was made.
	notBefore time.Duration
	received  time.Duration
}

// store stores an announcement unless a later one of the target is known, and returns the
// one that is in force.
func (l *announcements) store(a wire.Announcement, notBefore, now time.Duration) *announcement {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.m == nil {
		l.m = map[model.TargetID]*announcement{}
	}
	old, ok := l.m[a.ID]
	if ok && !supersedes(a, old.a) {
		return old
	}
	h := &announcement{a: a, notBefore: notBefore, received: now}
	l.m[a.ID] = h
	return h
}

// supersedes reports whether a is later than old. An incarnation that has announced that
// it drains stays draining.
func supersedes(a, old wire.Announcement) bool {
	if a.Incarnation != old.Incarnation {
		return a.Incarnation > old.Incarnation
	}
	if old.State == wire.Draining && a.State != wire.Draining {
		return false
	}
	return a.Sequence > old.Sequence
}

func (l *announcements) reports(now time.Duration) []*eelpb.TargetReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*eelpb.TargetReport
	for id, h := range l.m {
		if now > h.received+reportTTL {
			delete(l.m, id)
			continue
		}
		out = append(out, &eelpb.TargetReport{
			Id: string(id), Incarnation: h.a.Incarnation, Addr: h.a.Addr, Service: string(h.a.Service),
			FailureDomain: string(h.a.FailureDomain), Slots: uint32(h.a.Slots),
			Draining: h.a.State == wire.Draining, Ready: h.a.State == wire.Ready,
		})
	}
	slices.SortFunc(out, func(a, b *eelpb.TargetReport) int { return strings.Compare(a.Id, b.Id) })
	return out
}

func (l *announcements) setOwners(o []*eelpb.TargetOwner) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owners = map[model.TargetID]*eelpb.TargetOwner{}
	for _, x := range o {
		l.owners[model.TargetID(x.Target)] = x
	}
}

func (l *announcements) owner(id model.TargetID) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o, ok := l.owners[id]; ok {
		return o.Addr
	}
	return ""
}

// token returns a token for the reply to an announcement. It holds the time of the reply
// on this process's clock.
func (x *Entry) token() string {
	return fmt.Sprintf("%x.%x", x.lease.incarnation, int64(x.now()))
}

// tokenTime returns a lower bound of the time at which an announcement was made: the time
// in the token that it carries. Without a valid token of this process there is none.
func (x *Entry) tokenTime(token string) (time.Duration, bool) {
	i, at, ok := strings.Cut(token, ".")
	if !ok || i != strconv.FormatUint(x.lease.incarnation, 16) {
		return 0, false
	}
	n, err := strconv.ParseInt(at, 16, 64)
	if err != nil || time.Duration(n) > x.now() {
		return 0, false
	}
	return time.Duration(n), true
}

func (x *Entry) announce(c echo.Context) error {
	var a wire.Announcement
	if err := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxAnnouncementBytes)).Decode(&a); err != nil {
		return c.JSON(http.StatusBadRequest, wire.Failure{Error: "announcement: " + err.Error()})
	}
	if err := x.checkAnnouncement(a); err != nil {
		return c.JSON(http.StatusBadRequest, wire.Failure{Error: "announcement: " + err.Error()})
	}
	notBefore, known := x.tokenTime(a.Token)
	h := x.announced.store(a, notBefore, x.now())
	if known || h.a.State == wire.Draining {
		x.pools.get(a.Service).Update(pool.Target{
			ID: a.ID, Addr: h.a.Addr, Domain: h.a.FailureDomain, Slots: h.a.Slots, Incarnation: h.a.Incarnation,
			Ready: h.a.State == wire.Ready, Draining: h.a.State == wire.Draining, AnnouncedAt: h.notBefore,
		})
	}
	r := wire.Announced{Token: x.token(), EveryMillis: announceInterval, AnnounceTo: x.announceTo(a.ID)}
	if d, ok := x.pools.get(a.Service).DrainTime(a.ID); ok {
		m := model.Millis(d.Milliseconds())
		r.DrainedMillis = &m
	}
	return c.JSON(http.StatusOK, r)
}

func (x *Entry) checkAnnouncement(a wire.Announcement) error {
	if err := setup.CheckID("id", string(a.ID)); err != nil {
		return err
	}
	if err := setup.CheckAddr("addr", a.Addr); err != nil {
		return err
	}
	if a.Slots <= 0 || a.Slots > model.MaxSlots {
		return fmt.Errorf("slots is %d, not from 1 to %d", a.Slots, model.MaxSlots)
	}
	switch a.State {
	case wire.Starting, wire.Ready, wire.Draining:
	default:
		return fmt.Errorf("state %q is not starting, ready or draining", a.State)
	}
	c := x.store.catalogue()
	if c == nil {
		return nil
	}
	if _, ok := c.Services[a.Service]; !ok {
		return fmt.Errorf("service %q does not exist", a.Service)
	}
	if _, ok := c.Domains[a.FailureDomain]; !ok {
		return fmt.Errorf("failure domain %q does not exist", a.FailureDomain)
	}
	return nil
}

// announceTo returns the addresses that a target announces to: its owner and a second entry.
func (x *Entry) announceTo(id model.TargetID) []string {
	o := x.announced.owner(id)
	if o == "" || o == x.o.Addr {
		return append([]string{x.o.Addr}, x.otherEntries(id, 1)...)
	}
	if x.leaving.Load() {
		return append([]string{o}, x.otherEntries(id, 1)...)
	}
	return []string{o, x.o.Addr}
}
