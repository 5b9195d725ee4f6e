package limit

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// sharedSpan is the time in which all VMs together stay within the limit.
	sharedSpan = 4 * time.Second
	// maxSharedSpan is the maximum of that time for limits below one in sharedSpan.
	maxSharedSpan = time.Minute
)

// Position is the position of a VM among those that share a limit. All VMs rank themselves by
// the same hash, so that they agree without an exchange.
type Position struct {
	// Rank is the number of VMs before this one, of VMs altogether.
	Rank, VMs int
	// DomainRank is the number of VMs before this one in its failure domain, of Domains
	// altogether.
	DomainRank, Domains int
}

// Shared is one VM's part of a limit that holds for all VMs together. The limit is divided into
// whole requests in a window: each VM may send an equal number, and the VMs that rank first one
// more. Where there are fewer requests than VMs, the first VM of each failure domain that has none
// sends a rare one, at a random time, so that the domain learns how the limit changes.
// Shared is safe for concurrent use.
type Shared struct {
	mu     sync.Mutex
	rate   float64
	at     Position
	window *Window
	span   time.Duration
	// notBefore is when a VM that sends rare requests may send the first one.
	notBefore time.Duration
	// random returns a random time from 0 to below the given one.
	random func(time.Duration) time.Duration
}

// NewShared returns a part of 0 of no limit.
func NewShared() *Shared {
	return &Shared{window: newWindowOver(sharedSpan), span: sharedSpan, random: rand.N[time.Duration]}
}

// Set sets the limit of all VMs, in requests per second, and the position of this VM.
func (s *Shared) Set(perSecond float64, at Position, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if perSecond == s.rate && at == s.at {
		return
	}
	s.rate, s.at = perSecond, at
	span, n, rare := part(perSecond, at)
	if span != s.span {
		s.window, s.span = s.window.over(span, now), span
		if rare {
			s.notBefore = now + s.random(span)
		}
	}
	if !rare {
		s.notBefore = 0
	}
	s.window.SetLimit(n)
}

// part returns how many requests a VM may send in which time, and whether they are rare ones.
func part(perSecond float64, at Position) (span time.Duration, n int64, rare bool) {
	span = sharedSpan
	if perSecond*sharedSpan.Seconds() < 1 {
		span = time.Duration(min(maxSharedSpan.Seconds(), 1/perSecond) * float64(time.Second))
	}
	total := max(1, int64(math.Floor(perSecond*span.Seconds())))
	vms := int64(max(1, at.VMs))
	if total < vms && total > 1 {
		total-- // One request is left for the rare ones.
	}
	n = total / vms
	if int64(at.Rank) < total%vms {
		n++
	}
	if n == 0 && at.DomainRank == 0 {
		return span * time.Duration(max(1, at.Domains)), 1, true
	}
	return span, n, false
}

// Reserve reserves one request, to be sent later, if it is within this VM's part, and reports
// whether it is. Release ends the reservation.
func (s *Shared) Reserve(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now >= s.notBefore && s.window.Reserve(1, now)
}

// Release ends a reservation when its request is sent, or when it is certain that it will not be.
func (s *Shared) Release(sent bool, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	used := int64(0)
	if sent {
		used = 1
	}
	s.window.Release(1, used, now)
}

// Wait returns the time after which this VM may send a request: 0 if it may now, and the length of
// its window if it has no part.
func (s *Shared) Wait(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.notBefore-now, s.window.Wait(1, now))
}
