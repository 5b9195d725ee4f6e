package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
)

func (t *Target) announceLoop(ctx context.Context) error {
	k := time.NewTicker(announceInterval)
	defer k.Stop()
	for {
		t.announceAll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-k.C:
		}
	}
}

// announceAll announces to the entries named in the latest responses, or to
// the configured entries if none responds.
func (t *Target) announceAll(ctx context.Context) {
	t.mu.Lock()
	entries, noAnnounce := t.entries, t.fault == FaultNoAnnounce
	t.mu.Unlock()
	if noAnnounce {
		return
	}
	answers := make(chan []string, len(entries))
	for _, addr := range entries {
		go func() { answers <- t.announceTo(ctx, addr) }()
	}
	var next []string
	for range entries {
		for _, a := range <-answers {
			if !slices.Contains(next, a) && len(next) < maxAnnounceEntries {
				next = append(next, a)
			}
		}
	}
	if len(next) == 0 {
		next = t.o.Entries
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries = next
}

func (t *Target) announcement(addr string) wire.Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	a := wire.Announcement{
		ID: t.o.ID, Service: t.o.Service, FailureDomain: t.o.Domain, Addr: t.Addr(), Slots: t.o.Slots,
		Connections: cap(t.slots), State: t.state, InFlight: int(t.inFlight.Load()),
		Incarnation: t.incarnation, Sequence: t.sequence, Token: t.tokens[addr],
	}
	if t.fault == FaultFalseLoad {
		a.InFlight = 0
	}
	return a
}

func (t *Target) announceTo(ctx context.Context, addr string) []string {
	b, err := json.Marshal(t.announcement(addr))
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+wire.PathAnnounce, bytes.NewReader(b))
	if err != nil {
		return nil
	}
	q.Header.Set("Content-Type", "application/json")
	res, err := t.client.Do(q)
	if err != nil {
		return nil
	}
	defer res.Body.Close()
	var a wire.Announced
	if res.StatusCode != http.StatusOK || json.NewDecoder(res.Body).Decode(&a) != nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tokens[addr] = a.Token
	if a.DrainedMillis != nil {
		t.drained = a.DrainedMillis
	}
	return a.AnnounceTo
}
