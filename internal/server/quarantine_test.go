package server

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"gotest.tools/v3/assert"
)

// renewEnd renews the lease of an entry that reports the end of a target under a request.
func renewEnd(t *testing.T, s *Server, sequence uint64, target string, d model.RequestDigest) {
	t.Helper()
	q := &eelpb.RenewRequest{Vm: "v", Incarnation: 1, Addr: "127.0.0.1:1", FailureDomain: "a-1", Sequence: sequence, Sole: true, Format: model.CatalogueFormat}
	if target != "" {
		q.Ends = []*eelpb.TargetEnd{{Target: target, Incarnation: 1, AgeMs: 2000 - 200*sequence, Requests: []*eelpb.RequestInFlight{{Digest: d[:], Route: "r"}}}}
	}
	for try := 0; ; try++ {
		// The failure domain is added shortly after the start.
		_, err := stateService{s}.Renew(context.Background(), q)
		if err == nil {
			return
		}
		assert.Assert(t, try < 100, "%v", err)
		time.Sleep(10 * time.Millisecond)
	}
}

func awaitState(t *testing.T, s *Server, d model.RequestDigest, want model.QuarantineState) {
	t.Helper()
	for range 500 {
		s.mu.Lock()
		s.refresh()
		got := s.catalogue.Quarantine[d].State
		s.mu.Unlock()
		if got == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("the request is not %q", want)
}

// What entries report leads to a ban that is committed: it is still in force after all replicas have
// restarted, and until an operator lifts it.
func TestBanSurvivesRestart(t *testing.T) {
	dir := t.TempDir()
	s, closeServer := startServer(t, dir)
	banned, suspected := model.RequestDigest{1}, model.RequestDigest{2}
	for i := range 3 {
		renewEnd(t, s, uint64(i+1), fmt.Sprint("t", i), banned)
	}
	awaitState(t, s, banned, model.QuarantineBanned)
	renewEnd(t, s, 4, "s1", suspected)
	renewEnd(t, s, 5, "s2", suspected)
	awaitState(t, s, suspected, model.QuarantineSuspected)
	closeServer()

	s, closeServer = startServer(t, dir)
	defer closeServer()
	awaitState(t, s, banned, model.QuarantineBanned)
	awaitState(t, s, suspected, model.QuarantineSuspected)
	renewEnd(t, s, 6, "s3", suspected)
	awaitState(t, s, suspected, model.QuarantineBanned)

	_, err := s.submit(context.Background(), &eelpb.Change{Author: systemOwner, Objects: []*eelpb.Object{
		{Kind: string(model.ObjectQuarantine), Name: banned.String(), Removed: true},
	}})
	assert.NilError(t, err)
	awaitState(t, s, banned, "")
	time.Sleep(2 * idleDecideInterval)
	awaitState(t, s, banned, "")
	awaitState(t, s, suspected, model.QuarantineBanned)
}

// The ledgers of a leader begin with the first renewal, however long after the election that is: the one
// of allowances gathers the reports of all VMs for a while before it hands out credit. After all VMs had
// been killed, the first of them got the credit of all others.
func TestLedgersBeginWithFirstRenewal(t *testing.T) {
	s := newServer(t)
	time.Sleep(idleDecideInterval + 200*time.Millisecond)
	s.mu.Lock()
	early := s.ledger != nil
	s.mu.Unlock()
	assert.Assert(t, !early, "a ledger began before the first renewal")
	renewEnd(t, s, 1, "", model.RequestDigest{})
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Assert(t, s.ledger != nil && s.suspects != nil)
}
