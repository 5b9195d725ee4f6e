package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/auth"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"gotest.tools/v3/assert"
)

func digest(n int) model.RequestDigest {
	return model.RequestDigest{byte(n), byte(n >> 8), byte(n >> 16)}
}

// moment is the time between two ends that do not count as one.
const moment = 2 * sameMoment

// world is a ledger whose decisions are committed at once.
type world struct {
	l         *Ledger
	committed map[model.RequestDigest]model.Quarantine
}

func newWorld() *world {
	return &world{l: NewLedger(nil, 0), committed: map[model.RequestDigest]model.Quarantine{}}
}

func (w *world) isKnown(d model.RequestDigest) bool {
	_, ok := w.committed[d]
	return ok
}

func (w *world) decide(now time.Duration) {
	for _, c := range w.l.Decide(w.isKnown, now) {
		if c.Quarantine == nil {
			delete(w.committed, c.Digest)
		} else {
			w.committed[c.Digest] = *c.Quarantine
		}
		w.l.Committed(c, true, now)
	}
}

func (w *world) end(vm, target string, at time.Duration, requests ...int) {
	x := End{VM: model.VMID(vm), Target: model.TargetID(target), Incarnation: 1, At: at}
	for _, n := range requests {
		x.Requests = append(x.Requests, Request{Digest: digest(n), Route: "r"})
	}
	w.l.RecordEnd(x)
}

// The evidence against a request decides whether it is banned: a request that targets end under and
// that never gets a whole response is, and a popular one that is in flight at many ends is not.
func TestDecisions(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name string
		run  func(*world)
		want model.QuarantineState
		// decideAt is when the leader decides; 0 means after 10 s.
		decideAt time.Duration
	}{
		{"one end", func(w *world) { w.end("v1", "t1", 0, 1) }, "", 0},
		{"two ends", func(w *world) { w.end("v1", "t1", 0, 1); w.end("v2", "t2", 200*ms, 1) }, model.QuarantineSuspected, 0},
		{"three ends", func(w *world) { w.end("v1", "t1", 0, 1); w.end("v2", "t2", 200*ms, 1); w.end("v3", "t3", 400*ms, 1) }, model.QuarantineBanned, 0},
		{"one end that three VMs report", func(w *world) { w.end("v1", "t1", 0, 1); w.end("v2", "t1", 0, 1); w.end("v3", "t1", 0, 1) }, "", 0},
		{"twenty targets that end together", func(w *world) {
			for i := range 20 {
				w.end("v1", fmt.Sprint("t", i), time.Duration(i)*ms, 1)
			}
		}, "", 0},
		{"twenty targets that end together, and two more later", func(w *world) {
			for i := range 20 {
				w.end("v1", fmt.Sprint("t", i), time.Duration(i)*ms, 1)
			}
			w.end("v1", "t30", 500*ms, 1)
			w.end("v1", "t31", 900*ms, 1)
		}, model.QuarantineBanned, 0},
		{"a whole response before the third end", func(w *world) {
			w.end("v1", "t1", 0, 1)
			w.end("v2", "t2", 200*ms, 1)
			w.l.RecordWhole(digest(1), 300*ms)
			w.end("v3", "t3", 500*ms, 1)
		}, "", 0},
		{"a whole response while it is suspected for three ends", func(w *world) {
			w.end("v1", "t1", 0, 1)
			w.end("v2", "t2", 200*ms, 1)
			w.end("v3", "t3", 400*ms, 1)
			w.decide(410 * ms)
			w.l.RecordWhole(digest(1), 500*ms)
		}, "", 0},
		{"a whole response long before the ends", func(w *world) {
			w.l.RecordWhole(digest(1), 0)
			for i := range 3 {
				w.end("v1", fmt.Sprint("t", i), time.Duration(5000+200*i)*ms, 1)
			}
		}, model.QuarantineBanned, 0},
		{"ends an hour apart", func(w *world) {
			for i := range 3 {
				w.end("v1", fmt.Sprint("t", i), time.Duration(i)*time.Hour, 1)
				w.decide(time.Duration(i) * time.Hour)
			}
		}, "", 2*time.Hour + 10*time.Second},
		{"ends a minute apart", func(w *world) {
			for i := range 3 {
				w.end("v1", fmt.Sprint("t", i), time.Duration(i)*time.Minute, 1)
				w.decide(time.Duration(i) * time.Minute)
			}
		}, model.QuarantineBanned, 2*time.Minute + 10*time.Second},
		{"a late report of an end before a whole response", func(w *world) {
			w.end("v1", "t1", 0, 1)
			w.l.RecordWhole(digest(1), 500*ms)
			w.end("v2", "t2", 100*ms, 1)
			w.end("v3", "t3", 300*ms, 1)
		}, "", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld()
			tt.run(w)
			now := tt.decideAt
			if now == 0 {
				now = 10 * time.Second
			}
			w.decide(now)
			w.decide(now + settleTime)
			w.decide(now + 2*settleTime)
			assert.Equal(t, w.committed[digest(1)].State, tt.want)
		})
	}
}

// A request that is in flight at ends of a deadly one, since both are sent to the same targets and its
// caller sends it again, is not banned with it, whatever the order of the reports.
func TestBanExplainsEnds(t *testing.T) {
	w := newWorld()
	for i := range 5 {
		at := time.Duration(i) * moment
		w.end("v1", fmt.Sprint("t", i), at, 1)
		if i < 3 {
			w.end("v2", fmt.Sprint("t", i), at, 2, 3)
		}
	}
	w.decide(0)
	w.decide(settleTime)
	w.decide(2 * settleTime)
	assert.Equal(t, w.committed[digest(1)].State, model.QuarantineBanned)
	assert.Equal(t, len(w.committed), 1)

	// A late report names an end of the banned request first for the other one.
	for i := range 3 {
		at := 2*settleTime + time.Duration(i)*moment
		w.end("v2", fmt.Sprint("u", i), at, 2)
		w.end("v1", fmt.Sprint("u", i), at, 1)
	}
	w.decide(4 * settleTime)
	w.decide(6 * settleTime)
	assert.Equal(t, len(w.committed), 1)

	// A second deadly request has ends of its own.
	for i := range 3 {
		w.end("v2", fmt.Sprint("x", i), 6*settleTime+time.Duration(i)*moment, 2)
	}
	w.decide(8 * settleTime)
	w.decide(10 * settleTime)
	assert.Equal(t, w.committed[digest(2)].State, model.QuarantineBanned)
}

// A ban waits until the VMs have had time to report whole responses.
func TestBanWaitsForWholeResponses(t *testing.T) {
	w := newWorld()
	for i := range 3 {
		w.end("v1", fmt.Sprint("t", i), time.Duration(i-2)*moment, 1)
	}
	w.decide(0)
	w.decide(settleTime - 1)
	assert.Equal(t, w.committed[digest(1)].State, model.QuarantineSuspected)
	assert.Assert(t, w.l.Pending())
	w.decide(settleTime)
	assert.Equal(t, w.committed[digest(1)].State, model.QuarantineBanned)
	assert.Equal(t, len(w.committed[digest(1)].Ends), 3)
	assert.Assert(t, !w.l.Pending())
}

// A ban has no end of its own, and the evidence of a new leader starts with what is committed.
func TestBanStays(t *testing.T) {
	w := newWorld()
	w.end("v1", "t1", -2*moment, 1, 2)
	w.end("v1", "t2", -moment, 1, 2)
	w.end("v1", "t3", 0, 1)
	w.decide(0)
	w.decide(settleTime)
	w.l = NewLedger(w.committed, time.Second)
	w.l.RecordWhole(digest(1), time.Minute)
	w.decide(24 * time.Hour)
	assert.Equal(t, w.committed[digest(1)].State, model.QuarantineBanned)
	assert.Equal(t, w.committed[digest(2)].State, model.QuarantineState(""), "an old suspicion ends")

	w = newWorld()
	w.end("v1", "t1", -moment, 2)
	w.end("v1", "t2", 0, 2)
	w.decide(0)
	w.l = NewLedger(w.committed, time.Second)
	w.end("v1", "t2", time.Second, 2) // The same end, reported again.
	w.decide(3 * time.Second)
	assert.Equal(t, w.committed[digest(2)].State, model.QuarantineSuspected)
	w.end("v1", "t3", 4*time.Second, 2)
	w.decide(5 * time.Second)
	assert.Equal(t, w.committed[digest(2)].State, model.QuarantineBanned)
}

// An operator lifts a ban: what was known against the request is forgotten.
func TestLiftedBan(t *testing.T) {
	w := newWorld()
	for i := range 3 {
		w.end("v1", fmt.Sprint("t", i), time.Duration(i-2)*moment, 1)
	}
	w.decide(0)
	w.decide(settleTime)
	delete(w.committed, digest(1))
	w.decide(time.Second)
	w.end("v1", "t4", 2*time.Second, 1)
	w.decide(2 * time.Second)
	w.decide(2*time.Second + settleTime)
	assert.Equal(t, len(w.committed), 0)
}

// Many identities that are sent on purpose evict no ban, and take bounded memory.
func TestManyIdentities(t *testing.T) {
	w := newWorld()
	for i := range 3 {
		w.end("v1", fmt.Sprint("t", i), time.Duration(i-2)*moment, 1)
	}
	w.decide(0)
	w.decide(settleTime)
	for n := range 100_000 {
		w.end("v1", fmt.Sprint("x", n/16), time.Second, 2+n)
	}
	w.decide(time.Second)
	assert.Assert(t, len(w.l.suspects) <= maxSuspects)
	assert.Equal(t, w.committed[digest(1)].State, model.QuarantineBanned)
	for n := range 2 * maxQuarantined {
		for i := range 3 {
			w.end("v1", fmt.Sprint("y", n, "-", i), 2*time.Second+time.Duration(i-2)*moment, 200_000+n)
		}
	}
	w.decide(2 * time.Second)
	w.decide(2*time.Second + settleTime)
	assert.Equal(t, len(w.committed), maxQuarantined)
	assert.Equal(t, w.committed[digest(1)].State, model.QuarantineBanned)
}

// A decision that could not be committed is tried again.
func TestFailedCommit(t *testing.T) {
	w := newWorld()
	w.end("v1", "t1", -moment, 1)
	w.end("v1", "t2", 0, 1)
	c := w.l.Decide(w.isKnown, 0)
	assert.Equal(t, len(c), 1)
	assert.Equal(t, len(w.l.Decide(w.isKnown, 0)), 0, "it is being committed")
	assert.Assert(t, w.l.Pending())
	w.l.Committed(c[0], false, 0)
	assert.Equal(t, len(w.l.Decide(w.isKnown, 0)), 1)
}

// Attempts are the same request if method, host, URI, caller and body are, and nobody without the
// key can make one that has the digest of another.
func TestIdentify(t *testing.T) {
	k := auth.NewKey("k")
	base := Identity{Method: "POST", Host: "h.example", URI: "/a?b=1", Caller: "w", Body: [][]byte{[]byte("xy")}}
	change := func(f func(*Identity)) Identity {
		x := base
		f(&x)
		return x
	}
	tests := []struct {
		name string
		key  *auth.Key
		x    Identity
		same bool
	}{
		{"again", k, base, true},
		{"body in other parts", k, change(func(x *Identity) { x.Body = [][]byte{[]byte("x"), []byte("y")} }), true},
		{"host in capitals", k, change(func(x *Identity) { x.Host = "H.example" }), true},
		{"method", k, change(func(x *Identity) { x.Method = "PUT" }), false},
		{"host", k, change(func(x *Identity) { x.Host = "i.example" }), false},
		{"query", k, change(func(x *Identity) { x.URI = "/a?b=2" }), false},
		{"caller", k, change(func(x *Identity) { x.Caller = "v" }), false},
		{"body", k, change(func(x *Identity) { x.Body = nil }), false},
		{"field moved to the next", k, change(func(x *Identity) { x.URI, x.Caller = "/a?b=1w", "" }), false},
		{"other key", auth.NewKey("l"), base, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, Identify(tt.key, tt.x) == Identify(k, base), tt.same)
		})
	}
}

// The memory of whole responses is bounded; the oldest request is dropped.
func TestRecent(t *testing.T) {
	r := NewRecent(3)
	for n := range 5 {
		r.Add(digest(n), time.Duration(n))
		r.Add(digest(n), time.Duration(n+10))
	}
	for n := range 5 {
		at, ok := r.StartedAt(digest(n))
		assert.Equal(t, ok, n >= 2)
		assert.Assert(t, !ok || at == time.Duration(n+10))
	}
	assert.Equal(t, len(r.at), 3)
}

// Several VMs that send a suspected request at the same moment would end as many targets. The leader permits one at a time,
// and ever fewer if nothing is decided; after a change of the leader it waits, since the former one may have permitted one.
func TestTrials(t *testing.T) {
	const ms = time.Millisecond
	suspected := func() *world {
		w := newWorld()
		w.end("v1", "t1", 0, 1)
		w.end("v2", "t2", moment, 1)
		w.decide(moment)
		return w
	}
	tests := []struct {
		name string
		w    func() *world
		// at are the times at which VMs ask, and want those at which one may send.
		at, want []time.Duration
	}{
		{"nine at once", suspected, []time.Duration{time.Second, time.Second, time.Second + ms, time.Second + 99*ms}, []time.Duration{time.Second}},
		{"nothing is decided", suspected, []time.Duration{trialInterval, 2 * trialInterval, 3 * trialInterval, 4 * trialInterval, 7 * trialInterval, 8 * trialInterval}, []time.Duration{trialInterval, 2 * trialInterval, 4 * trialInterval, 8 * trialInterval}},
		{"not suspected", newWorld, []time.Duration{time.Second}, nil},
		{"a third end", func() *world {
			w := suspected()
			w.end("v3", "t3", 2*moment, 1)
			return w
		}, []time.Duration{time.Second}, nil},
		{"banned", func() *world {
			w := suspected()
			w.end("v3", "t3", 2*moment, 1)
			w.decide(10 * time.Second)
			return w
		}, []time.Duration{11 * time.Second}, nil},
		{"cleared and suspected again", func() *world {
			w := suspected()
			assert.Assert(t, w.l.PermitTrial(digest(1), time.Second))
			w.l.RecordWhole(digest(1), time.Second)
			w.decide(time.Second)
			w.end("v1", "t3", 2*time.Second, 1)
			w.end("v2", "t4", 2*time.Second+moment, 1)
			w.decide(2*time.Second + moment)
			return w
		}, []time.Duration{3 * time.Second, 3 * time.Second}, []time.Duration{3 * time.Second}},
		{"a new leader", func() *world {
			w := suspected()
			w.l = NewLedger(w.committed, time.Second)
			return w
		}, []time.Duration{2 * time.Second, time.Second + trialInterval, time.Second + trialInterval}, []time.Duration{time.Second + trialInterval}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := tt.w()
			var got []time.Duration
			for _, at := range tt.at {
				if w.l.PermitTrial(digest(1), at) {
					got = append(got, at)
				}
			}
			assert.DeepEqual(t, got, tt.want)
		})
	}
}
