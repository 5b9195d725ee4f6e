package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/examples"
	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"gotest.tools/v3/assert"
)

func catalogue(t testing.TB) *model.Catalogue {
	t.Helper()
	o, err := model.Parse(examples.Kalogeropoulos)
	assert.NilError(t, err)
	c, err := model.NewCatalogue(1, o)
	assert.NilError(t, err)
	return c
}

const capName = "shiftCap/registry-shift"

// holder is a model of an entry: it relies on the last reply that it received, until its lease
// expires by its own clock.
type holder struct {
	id           string
	domain       string
	incarnation  uint64
	clockRate    float64
	expiresAt    time.Duration
	grant        uint64
	owned        []string
	busy         map[string]bool
	share        int64
	demand       int64
	awaitedReply uint64
	// used lists the times at which units of the cap were used.
	used []time.Duration
}

// clock returns the holder's own time, which runs a little fast or slow.
func (h *holder) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now) * h.clockRate)
}

func (h *holder) isValid(now time.Duration) bool { return h.clock(now) < h.expiresAt }

// world simulates holders and a sequence of grantors, with delays, lost messages, freezes and
// restarts.
type world struct {
	t         *testing.T
	rnd       *rand.Rand
	c         *model.Catalogue
	g         *Grantor
	epoch     uint64
	now       time.Duration
	holders   []*holder
	pending   []delayed
	moves     int
	lastOwner map[string]string
}

type delayed struct {
	at time.Duration
	f  func()
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{t: t, rnd: rand.New(rand.NewPCG(seed, 1)), c: catalogue(t), lastOwner: map[string]string{}}
	for i, d := range []string{"attiki-a", "attiki-b", "makedonia-a", "makedonia-b", "kriti-a", "kriti-b"} {
		w.holders = append(w.holders, &holder{
			id: fmt.Sprintf("e%d", i), domain: d, incarnation: 1, busy: map[string]bool{}, clockRate: 0.995 + 0.01*w.rnd.Float64(),
		})
	}
	w.electLeader()
	return w
}

func (w *world) electLeader() {
	w.epoch++
	w.g = New(Options{}, w.now, w.epoch)
}

func (w *world) schedule(d time.Duration, f func()) {
	w.pending = append(w.pending, delayed{w.now + d, f})
}

// delay returns a random message delay. One in 20 may be long enough that later messages
// overtake the message.
func (w *world) delay() time.Duration {
	if w.rnd.IntN(20) == 0 {
		return time.Duration(w.rnd.Int64N(int64(2 * time.Second)))
	}
	return time.Duration(w.rnd.Int64N(int64(250 * time.Millisecond)))
}

func (w *world) targets() []*eelpb.TargetReport {
	var out []*eelpb.TargetReport
	for i := range 12 {
		if w.rnd.IntN(3) > 0 {
			out = append(out, &eelpb.TargetReport{
				Id: fmt.Sprintf("t%d", i), Service: "registry", FailureDomain: w.holders[i%6].domain, Slots: 3, Ready: true,
			})
		}
	}
	return out
}

// renew sends a renewal. A reply to an earlier renewal is ignored.
func (w *world) renew(h *holder) {
	sent, number := w.now, h.awaitedReply+1
	h.awaitedReply = number
	if !h.isValid(w.now) {
		h.owned = nil
	}
	q := &eelpb.RenewRequest{
		Vm: h.id, Incarnation: h.incarnation, FailureDomain: h.domain, SeenGrant: h.grant, Held: slices.Clone(h.owned),
		Targets: w.targets(), Leaving: w.rnd.IntN(30) == 0,
		Shares:  []*eelpb.Share{{Resource: capName, Amount: h.share}},
		Demands: []*eelpb.Share{{Resource: capName, Amount: h.demand}},
	}
	for id := range h.busy {
		if !slices.Contains(q.Held, id) {
			q.Held = append(q.Held, id)
		}
	}
	if w.rnd.IntN(20) == 0 {
		return
	}
	g := w.g
	w.schedule(w.delay(), func() {
		if g != w.g && w.rnd.IntN(2) == 0 {
			return
		}
		r, err := w.g.Renew(q, w.c, w.now)
		if err != nil || w.rnd.IntN(20) == 0 {
			return
		}
		w.schedule(w.delay(), func() { w.receive(h, r, sent, number) })
	})
}

func (w *world) receive(h *holder, r *eelpb.RenewReply, sent time.Duration, number uint64) {
	if h.awaitedReply != number || w.now-sent > 400*time.Millisecond {
		return
	}
	h.owned = nil
	for _, t := range r.Owned {
		h.owned = append(h.owned, t.Id)
	}
	h.share = 0
	for _, s := range r.Shares {
		if s.Resource == capName {
			h.share = s.Amount
		}
	}
	h.grant = r.Grant
	h.expiresAt = h.clock(sent) + time.Duration(r.LeaseMs)*time.Millisecond
}

// consume uses up the holder's share of the cap in a sliding window and dispatches to its targets.
func (w *world) consume(h *holder) {
	if !h.isValid(w.now) {
		return
	}
	h.used = slices.DeleteFunc(h.used, func(at time.Duration) bool { return at <= w.now-shareWindow })
	for int64(len(h.used)) < h.share {
		h.used = append(h.used, w.now)
	}
	for _, t := range h.owned {
		if w.rnd.IntN(10) == 0 {
			h.busy[t] = true
			w.schedule(time.Duration(w.rnd.Int64N(int64(time.Second))), func() { delete(h.busy, t) })
		}
	}
}

// checkInvariants checks that each target has at most one owner and that the use of the cap in
// the last second is within it.
func (w *world) checkInvariants() {
	owner := map[string]string{}
	total := 0
	for _, h := range w.holders {
		for _, at := range h.used {
			if at > w.now-time.Second {
				total++
			}
		}
		if !h.isValid(w.now) {
			continue
		}
		for _, t := range h.owned {
			assert.Assert(w.t, owner[t] == "", "at %s target %s is owned by %s and %s", w.now, t, owner[t], h.id)
			owner[t] = h.id
			if w.lastOwner[t] != h.id {
				w.lastOwner[t] = h.id
				w.moves++
			}
		}
	}
	assert.Assert(w.t, total <= 100, "at %s %d of 100 were used in one second", w.now, total)
}

func (w *world) step() {
	w.now += 10 * time.Millisecond
	due := slices.DeleteFunc(slices.Clone(w.pending), func(d delayed) bool { return d.at > w.now })
	w.pending = slices.DeleteFunc(w.pending, func(d delayed) bool { return d.at <= w.now })
	for _, d := range due {
		d.f()
	}
	for i, h := range w.holders {
		if (int(w.now/(10*time.Millisecond))+i*7)%50 == 0 {
			w.renew(h)
		}
		w.consume(h)
	}
	switch w.rnd.IntN(800) {
	case 0:
		w.electLeader()
	case 1:
		h := w.holders[w.rnd.IntN(len(w.holders))]
		h.incarnation++
		h.owned, h.busy, h.expiresAt, h.grant, h.share = nil, map[string]bool{}, 0, 0, 0
	case 2, 3:
		w.holders[w.rnd.IntN(len(w.holders))].demand = int64(w.rnd.IntN(200))
	}
	w.checkInvariants()
}

func TestRandomGrants(t *testing.T) {
	const seeds, steps = 30, 6000
	t.Logf("seeds 0 to %d, %d steps of 10 ms", seeds-1, steps)
	moves := 0
	for seed := range uint64(seeds) {
		w := newWorld(t, seed)
		for range steps {
			w.step()
		}
		moves += w.moves
	}
	t.Logf("targets changed owner %d times", moves)
	assert.Assert(t, moves > seeds*12)
}

func renewal(id string) *eelpb.RenewRequest {
	return &eelpb.RenewRequest{Vm: id, Incarnation: 1, FailureDomain: "attiki-a", Addr: id}
}

func TestRenewErrors(t *testing.T) {
	tests := []struct {
		name string
		edit func(q *eelpb.RenewRequest)
		at   time.Duration
		kind Kind
	}{
		{"another process with the same id", func(q *eelpb.RenewRequest) { q.Incarnation = 2 }, time.Second, KindDuplicateVM},
		{"the same process", func(*eelpb.RenewRequest) {}, time.Second, ""},
		{"another process after the lease has expired", func(q *eelpb.RenewRequest) { q.Incarnation = 2 }, time.Minute, ""},
		{"unknown failure domain", func(q *eelpb.RenewRequest) { q.FailureDomain = "x" }, time.Second, KindUnknownDomain},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := New(Options{}, 0, 1)
			_, err := g.Renew(renewal("a"), catalogue(t), 0)
			assert.NilError(t, err)
			q := renewal("a")
			tt.edit(q)
			_, err = g.Renew(q, catalogue(t), tt.at)
			if tt.kind == "" {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, errs.Is(err, tt.kind), "%v", err)
		})
	}
}

func TestDirectoryDeltas(t *testing.T) {
	g, c := New(Options{}, 0, 1), catalogue(t)
	r, err := g.Renew(renewal("a"), c, 0)
	assert.NilError(t, err)
	assert.Assert(t, r.DirectoryFull)
	q := renewal("a")
	q.Directory = r.Directory
	r, err = g.Renew(q, c, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(r.Vms), 0, "nothing changed")
	_, err = g.Renew(renewal("b"), c, 0)
	assert.NilError(t, err)
	r, err = g.Renew(q, c, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(r.Vms), 1)
	q.Directory = r.Directory
	r, err = g.Renew(q, c, g.maxValidity())
	assert.NilError(t, err)
	assert.DeepEqual(t, r.RemovedVms, []string{"b"})
}

// TestLateRenewalFreesNothing checks that a renewal that was sent before its entry owned a target,
// and is overtaken by later ones, does not free the target.
func TestLateRenewalFreesNothing(t *testing.T) {
	g, c := New(Options{}, 0, 1), catalogue(t)
	now := time.Minute
	target := []*eelpb.TargetReport{{Id: "t", FailureDomain: "attiki-a", Slots: 1, Ready: true}}
	send := func(id string, edit func(q *eelpb.RenewRequest)) *eelpb.RenewReply {
		q := renewal(id)
		q.Targets = target
		edit(q)
		r, err := g.Renew(q, c, now)
		assert.NilError(t, err)
		return r
	}
	r := send("a", func(*eelpb.RenewRequest) {})
	assert.Equal(t, len(r.Owned), 1)
	held := func(q *eelpb.RenewRequest) { q.Held, q.SeenGrant, q.Leaving = []string{"t"}, r.Grant, true }
	send("a", held)
	assert.Equal(t, len(send("b", func(*eelpb.RenewRequest) {}).Owned), 0, "a has not released the target yet")
	send("a", func(q *eelpb.RenewRequest) { q.Leaving = true })
	assert.Equal(t, len(send("b", func(*eelpb.RenewRequest) {}).Owned), 0, "the late renewal was sent before the grant")
	r = send("a", held)
	send("a", func(q *eelpb.RenewRequest) { q.SeenGrant, q.Leaving = r.Grant, true })
	assert.Equal(t, len(send("b", func(*eelpb.RenewRequest) {}).Owned), 1, "a has released the target")
}

// TestSiteAssignmentConverges checks that two VMs of a failure domain divide its sites between
// them, and that the sites then stay assigned.
func TestSiteAssignmentConverges(t *testing.T) {
	g, c := New(Options{}, 0, 1), catalogue(t)
	var targets []*eelpb.TargetReport
	for i, s := range []string{"registry", "registry", "registry", "archive", "archive"} {
		targets = append(targets, &eelpb.TargetReport{
			Id: fmt.Sprintf("t%d", i), Service: s, FailureDomain: "attiki-a", Slots: 3, Ready: true,
		})
	}
	held, seen := map[string][]string{}, map[string]uint64{}
	moves := 0
	for i := range 60 {
		for _, id := range []string{"a", "b"} {
			q := renewal(id)
			q.Targets, q.Held, q.SeenGrant = targets, held[id], seen[id]
			r, err := g.Renew(q, c, time.Minute+time.Duration(i)*time.Millisecond)
			assert.NilError(t, err)
			before := len(held[id])
			held[id], seen[id] = nil, r.Grant
			for _, o := range r.Owned {
				held[id] = append(held[id], o.Id)
			}
			if i > 10 && len(held[id]) != before {
				moves++
			}
		}
	}
	assert.Equal(t, moves, 0, "sites moved after the assignment should have converged")
	assert.Assert(t, len(held["a"]) > 0 && len(held["b"]) > 0, "%v", held)
	assert.Equal(t, len(held["a"])+len(held["b"]), len(targets))
}
