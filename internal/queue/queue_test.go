package queue

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/place"
	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

// request returns a request with an objective of 400 ms and a service time of 200 ms, or 700 ms
// if the object is cold at the target.
func request(key string, now time.Duration) Request {
	return Request{
		Key: place.HashObject(key), HasAffinity: key != "", Priority: 2, Deadline: now + 3*time.Second,
		Objective: 400 * ms, WarmTime: 200 * ms, ColdTime: 700 * ms,
	}
}

// admit admits a request at time 0 and returns the requests that start at once.
func admit(t *testing.T, q *Queue, a Request) (*Ticket, []*Ticket) {
	t.Helper()
	x, _, why := q.Admit(a, 0)
	assert.Assert(t, x != nil, why)
	return x, q.Start(0)
}

// A target never gets more concurrent requests than it has slots.
func TestSlotsAreNeverExceeded(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 0))
	q := New(3)
	var running []*Ticket
	for now := time.Duration(0); now < time.Minute; now += 10 * ms {
		if x, _, _ := q.Admit(request(string(rune('a'+r.IntN(20))), now), now); x != nil {
			running = append(running, q.Start(now)...)
		}
		if len(running) > 0 && r.IntN(4) == 0 {
			i := r.IntN(len(running))
			q.Done(running[i], true)
			running = append(running[:i], running[i+1:]...)
			running = append(running, q.Start(now)...)
		}
		n, _ := q.Load()
		assert.Assert(t, n <= 3)
		assert.Equal(t, n, len(running))
	}
}

// Load pattern: all caches are cold and many requests for the same object arrive at once. One
// request warms the object, the others wait for it.
func TestColdBurstRunsAnObjectOnce(t *testing.T) {
	q := New(3)
	first, started := admit(t, q, request("17", 0))
	assert.Equal(t, len(started), 1)
	var waiting []*Ticket
	for range 3 {
		x, s := admit(t, q, request("17", 0))
		assert.Equal(t, len(s), 0)
		waiting = append(waiting, x)
	}
	// A request for another object does not wait.
	_, started = admit(t, q, request("18", 0))
	assert.Equal(t, len(started), 1)
	q.Done(first, true)
	started = q.Start(700 * ms)
	assert.Equal(t, len(started), 2)
	assert.Equal(t, started[0], waiting[0])
	assert.Equal(t, started[0].ServiceTime(), 200*ms)
}

// Load pattern: the first request for an object fails, so the next one finds the object cold
// again.
func TestColdObjectAfterAFailure(t *testing.T) {
	q := New(3)
	first, _ := admit(t, q, request("17", 0))
	admit(t, q, request("17", 0))
	admit(t, q, request("17", 0))
	q.Done(first, false)
	assert.Equal(t, len(q.Start(100*ms)), 1)
	assert.Assert(t, !q.IsWarm(place.HashObject("17")))
}

// Load pattern: the first request for an object is stuck at the target. The requests behind it do
// not wait for it until their deadline.
func TestColdObjectBehindAStuckRequest(t *testing.T) {
	q := New(3)
	admit(t, q, request("17", 0))
	next, started := admit(t, q, request("17", 0))
	assert.Equal(t, len(started), 0)
	at := q.WakeAt(next)
	assert.Assert(t, at > 700*ms && at < 1400*ms, "WakeAt is %s", at)
	assert.Equal(t, len(q.Start(at-ms)), 0)
	assert.Equal(t, len(q.Start(at)), 1)
}

// Load pattern: sustained overload. The queue must stay short enough for the admitted requests to
// be served in time.
func TestStandingOverloadServesInTime(t *testing.T) {
	tests := []struct {
		name      string
		every     time.Duration
		minInTime float64
	}{
		// Three slots with a service time of 200 ms serve one request per 67 ms.
		{"at 60 percent", 111 * ms, 0.99},
		{"at 130 percent", 51 * ms, 0.70},
		{"at 200 percent", 33 * ms, 0.45},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			served, inTime, late, offered := simulate(t, tt.every, 30*time.Second)
			t.Logf("offered %d served %d in time %d late %d", offered, served, inTime, late)
			assert.Assert(t, float64(inTime) >= tt.minInTime*float64(offered), "%d of %d in time", inTime, offered)
			assert.Assert(t, late*5 < served+1, "%d of %d were late", late, served)
		})
	}
}

// simulate offers requests at an even rate to a queue whose target takes 200 ms for each, and
// counts those that arrive after the first two seconds.
func simulate(t *testing.T, every, length time.Duration) (served, inTime, late, offered int) {
	t.Helper()
	q := New(3)
	type run struct {
		t   *Ticket
		end time.Duration
	}
	arrivedAt := map[*Ticket]time.Duration{}
	var running []run
	start := func(now time.Duration) {
		for _, x := range q.Start(now) {
			running = append(running, run{x, now + x.WarmTime})
		}
	}
	next := time.Duration(0)
	for now := time.Duration(0); now < length; now += ms {
		for i := 0; i < len(running); {
			if running[i].end > now {
				i++
				continue
			}
			x := running[i].t
			running = append(running[:i], running[i+1:]...)
			q.Done(x, true)
			if arrivedAt[x] > 2*time.Second {
				served++
				if now-arrivedAt[x] <= x.Objective {
					inTime++
				} else {
					late++
				}
			}
		}
		if now >= next {
			next += every
			if now > 2*time.Second {
				offered++
			}
			if x, _, _ := q.Admit(request("", now), now); x != nil {
				arrivedAt[x] = now
			}
		}
		start(now)
	}
	return served, inTime, late, offered
}

// Load pattern: the VMs of a region together send more to one target than it can serve. Each VM's
// queue is nearly empty while the target's own queue is long. Without the target's load reports
// no request is served in time.
func TestStandingOverloadOfManyVMs(t *testing.T) {
	const (
		vms, slots, work = 4, 4, 200 * ms
		// every is the time between two requests: 150 % of the target's capacity.
		every       = work * 2 / (slots * 3)
		oneWayDelay = 10 * ms
		// loadTTL is how long a load report of the target counts, with linearly decreasing
		// weight.
		loadTTL = 800 * ms
	)
	type run struct {
		vm             int
		t              *Ticket
		arrivedAt, end time.Duration
	}
	queues := make([]*Queue, vms)
	// peerLoad is the load of other VMs at the target, as reported at loadAt.
	peerLoad, loadAt := make([]float64, vms), make([]time.Duration, vms)
	for i := range queues {
		queues[i] = New(2)
	}
	var running, waiting []run
	arrivedAt := map[*Ticket]time.Duration{}
	inTime, late, n := 0, 0, 0
	next := time.Duration(0)
	for now := time.Duration(0); now < 30*time.Second; now += ms {
		for i := 0; i < len(running); {
			r := running[i]
			if r.end > now {
				i++
				continue
			}
			running = append(running[:i], running[i+1:]...)
			queues[r.vm].Done(r.t, true)
			own, _ := queues[r.vm].Load()
			peerLoad[r.vm], loadAt[r.vm] = float64(len(running)+len(waiting)-own), now
			if took := now - r.arrivedAt + 2*oneWayDelay; r.arrivedAt > 2*time.Second && took <= r.t.Objective {
				inTime++
			} else if r.arrivedAt > 2*time.Second {
				late++
			}
		}
		for len(running) < slots && len(waiting) > 0 {
			r := waiting[0]
			waiting = waiting[1:]
			r.end = now + work
			running = append(running, r)
		}
		if now >= next {
			next += every
			vm := n % vms
			n++
			a := request("", now)
			own, _ := queues[vm].Load()
			load := float64(own) + peerLoad[vm]*float64(max(0, loadTTL-(now-loadAt[vm])))/float64(loadTTL)
			a.TargetWait = place.Candidate{Slots: slots, Load: load, MeanServiceTime: work}.Wait()
			if x, _, _ := queues[vm].Admit(a, now); x != nil {
				arrivedAt[x] = now
			}
		}
		for vm, q := range queues {
			for _, x := range q.Start(now) {
				waiting = append(waiting, run{vm: vm, t: x, arrivedAt: arrivedAt[x]})
			}
		}
	}
	t.Logf("%d of %d in time, %d late", inTime, n, late)
	assert.Assert(t, late <= 3*inTime, "%d were late, %d in time", late, inTime)
	capacity := float64(slots) * float64(28*time.Second) / float64(work)
	assert.Assert(t, float64(inTime+late) >= 0.9*capacity, "the target was idle: it served %d, and can serve %.0f", inTime+late, capacity)
}

// Load pattern: a short burst onto an idle target. No request is refused that can be served
// within twice the objective.
func TestShortBurstWaits(t *testing.T) {
	q := New(3)
	for i := range 12 {
		x, _, why := q.Admit(request("", 0), 0)
		assert.Assert(t, x != nil, "request %d: %s", i, why)
		q.Start(0)
	}
}

// Load pattern: an urgent request arrives behind a queue of less urgent ones.
func TestUrgentGoesFirst(t *testing.T) {
	q := New(1)
	running, _ := admit(t, q, request("", 0))
	admit(t, q, request("", 0))
	urgent := request("", 0)
	urgent.Priority = 1
	u, _ := admit(t, q, urgent)
	q.Done(running, true)
	started := q.Start(200 * ms)
	assert.Equal(t, len(started), 1)
	assert.Equal(t, started[0], u)
}

// A request that cannot be served before its deadline, or a spillover request without spare
// capacity, is refused at once with the estimated wait.
func TestRefusals(t *testing.T) {
	shortDeadline := request("", 0)
	shortDeadline.Deadline = 300 * ms
	spillover := request("x", 0)
	spillover.Spillover = true
	saturated := spillover
	saturated.Saturated = true
	longTargetWait := request("", 0)
	longTargetWait.TargetWait = 900 * ms
	slow := request("", 0)
	slow.WarmTime = 5 * time.Second
	trial, lateTrial, busyTrial := slow, slow, slow
	trial.Trial, lateTrial.Trial, busyTrial.Trial = true, true, true
	lateTrial.TargetWait, busyTrial.TargetWait = 4*time.Second, 900*ms
	late := shortDeadline
	late.TargetWait = 200 * ms
	tests := []struct {
		name    string
		busy    int
		request Request
		ok      bool
	}{
		{"a deadline that can be met", 0, shortDeadline, true},
		{"a wait beyond the deadline", 4, shortDeadline, false},
		{"spillover, with spare capacity", 2, spillover, true},
		{"spillover, without spare capacity", 3, spillover, false},
		{"spillover, spare capacity used by other VMs", 0, saturated, false},
		{"too long a wait at the target", 0, longTargetWait, false},
		{"a wait at the target beyond the deadline", 0, late, false},
		{"a service time beyond the deadline", 0, slow, false},
		{"a service time beyond the deadline, on trial", 0, trial, true},
		{"a wait beyond the deadline, on trial", 0, lateTrial, false},
		{"too long a wait, on trial", 0, busyTrial, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := New(3)
			for range tt.busy {
				admit(t, q, request("", 0))
			}
			x, wait, why := q.Admit(tt.request, 0)
			assert.Equal(t, x != nil, tt.ok, why)
			if !tt.ok {
				assert.Assert(t, why != "" && wait >= 0)
			}
		})
	}
}

// A request that is removed from the queue is never dispatched.
func TestRemove(t *testing.T) {
	q := New(1)
	running, _ := admit(t, q, request("", 0))
	waiting, _ := admit(t, q, request("", 0))
	assert.Assert(t, q.Remove(waiting))
	assert.Assert(t, !q.Remove(running))
	q.Done(running, true)
	assert.Equal(t, len(q.Start(time.Second)), 0)
}
