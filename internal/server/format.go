package server

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/go-kit/log/level"
	"github.com/twitchtv/twirp"
)

const (
	// formerTTL is how long an entry of an earlier build counts after its last renewal: one that is cut off goes on
	// by its catalogue for a minute, and needs the changes when it is back.
	formerTTL = time.Minute
	// formatProbeTimeout bounds the call that tells what an entry of an earlier build reads, and
	// formatProbeInterval is the time between two tries.
	formatProbeTimeout  = time.Second
	formatProbeInterval = 2 * time.Second
	// gatherTime is the time after an election in which every entry renews its lease.
	gatherTime = 1500 * time.Millisecond
)

// formats tracks the entries that do not tell the format of the catalogue that they read. Builds up to one refuse
// the whole catalogue for an object of a kind that they do not know, so such an object is committed only if no
// entry of them is left.
type formats struct {
	mu      sync.Mutex
	formers map[model.VMID]*former
}

// former is an entry of an earlier build.
type former struct {
	incarnation uint64
	renewedAt   time.Duration
	probedAt    time.Duration
	// readsKinds is set once the entry is known to leave out objects of unknown kinds.
	readsKinds bool
}

// renewed records the renewal of an entry, and reports whether it is to be probed.
func (f *formats) renewed(q *eelpb.RenewRequest, now time.Duration) (probe bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := model.VMID(q.Vm)
	if q.Format >= model.CatalogueFormat {
		delete(f.formers, id)
		return false
	}
	x := f.formers[id]
	if x == nil || x.incarnation != q.Incarnation {
		x = &former{incarnation: q.Incarnation, probedAt: now - formatProbeInterval}
		if f.formers == nil {
			f.formers = map[model.VMID]*former{}
		}
		f.formers[id] = x
	}
	x.renewedAt = now
	if x.readsKinds || now-x.probedAt < formatProbeInterval {
		return false
	}
	x.probedAt = now
	return true
}

// probed records that an entry leaves out objects of unknown kinds.
func (f *formats) probed(q *eelpb.RenewRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if x := f.formers[model.VMID(q.Vm)]; x != nil && x.incarnation == q.Incarnation {
		x.readsKinds = true
	}
}

// refusing returns an entry that refuses the catalogue for an object of an unknown kind, or may do so, or "".
func (f *formats) refusing(now time.Duration) model.VMID {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, x := range f.formers {
		if now-x.renewedAt > formerTTL {
			delete(f.formers, id)
			continue
		}
		if !x.readsKinds {
			return id
		}
	}
	return ""
}

// observeFormat records the format that an entry reads, and asks an entry that does not tell it.
func (s *Server) observeFormat(q *eelpb.RenewRequest) {
	if !s.formats.renewed(q, s.o.Node.Now()) || s.o.Peers == nil {
		return
	}
	s.g.Go(func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, formatProbeTimeout)
		defer cancel()
		ok, err := s.o.Peers.answersRelays(ctx, q.Addr)
		level.Info(s.o.Log).Log("msg", "entry of an earlier build", "vm", q.Vm, "readsKinds", ok, "err", err)
		if ok {
			s.formats.probed(q)
		}
		return nil
	})
}

// answersRelays reports whether an entry answers calls to relay requests, as all builds do that leave out objects of
// unknown kinds. The call names no request, so the entry refuses it.
func (p *Peers) answersRelays(ctx context.Context, addr string) (bool, error) {
	_, err := eelpb.NewHopProtobufClient("http://"+addr, p.c).Relay(ctx, &eelpb.RelayRequest{})
	if err == nil {
		return true, nil
	}
	var t twirp.Error
	return errors.As(err, &t) && t.Code() == twirp.InvalidArgument, err
}
