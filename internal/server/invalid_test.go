package server

import (
	"context"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"gotest.tools/v3/assert"
)

// waitDomains waits until the leader has added the failure domains of the settings.
func waitDomains(t *testing.T, s *Server) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); s.o.Node.Machine().Object(model.ObjectFailureDomain, "a-1") == nil; {
		assert.Assert(t, time.Now().Before(end), "the failure domains were not added")
		time.Sleep(10 * time.Millisecond)
	}
}

// checkServes checks that the server renews leases, and that a later routing is in the catalogue
// of the version that the renewal confirms.
func checkServes(t *testing.T, s *Server, rev model.Revision) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	assert.NilError(t, s.PutRouting(ctx, &model.Routing{Revision: rev}, nil, []byte("{}")))
	q := &eelpb.RenewRequest{Vm: "e1", Incarnation: 1, Addr: "127.0.0.1:1", FailureDomain: "a-1", Sequence: uint64(rev)}
	r, err := (stateService{s}).Renew(ctx, q)
	assert.NilError(t, err, "the lease is not renewed")
	assert.Equal(t, r.Version, uint64(s.catalogue.Version))
	assert.Equal(t, s.catalogue.Routing.Revision, rev)
}

// An announcement, withdrawal or drain with a name that no reader of the catalogue accepts is
// rejected. Committed, it would keep every later change from taking effect.
func TestInvalidNamesRejected(t *testing.T) {
	s := newServer(t)
	waitDomains(t, s)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	names := []string{"127.0.5.1:9100", strings.Repeat("i", 64), "a b", "\xff\xfe", "-i", "", "a/b"}
	for i, name := range names {
		x := target(1, model.TargetReady)
		x.ID = model.TargetID(name)
		calls := []struct {
			name string
			f    func() error
		}{
			{"announce", func() error { return s.Announce(ctx, x, 1) }},
			{"withdraw", func() error { return s.Withdraw(ctx, x.ID, 1, testPatience) }},
			{"drain", func() error { return s.SetDrain(ctx, model.FailureDomainID(name), true, testPatience) }},
			{"end of a drain", func() error { return s.SetDrain(ctx, model.FailureDomainID(name), false, testPatience) }},
		}
		for _, c := range calls {
			err := c.f()
			assert.Check(t, errs.Is(err, model.KindInvalid), "%s of %q: %v", c.name, name, err)
		}
		checkServes(t, s, model.Revision(i+1))
	}
	err := s.SetDrain(ctx, "a-9", true, testPatience)
	assert.Check(t, errs.Is(err, model.KindInvalid), "drain of a failure domain that does not exist: %v", err)
	checkServes(t, s, 100)
}

// A replica whose log holds invalid objects, which an earlier build committed, applies all others, also
// after a restart: it renews leases, and targets and operators can replace the objects.
func TestInvalidObjectsInState(t *testing.T) {
	dir := t.TempDir()
	s, closeServer := startServer(t, dir)
	waitDomains(t, s)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	stored := []*eelpb.Object{
		{Kind: "target", Name: "127.0.5.1:9100", Owner: systemOwner, Spec: []byte(`{"service":"s","addr":"127.0.5.1:9100"}`), Revision: 5},
		{Kind: "target", Name: "t", Owner: systemOwner, Spec: []byte(`{"addr":"10.0.0.1:80","slots":"x"}`), Revision: 5},
		{Kind: "target", Name: "u", Owner: systemOwner, Spec: []byte(`{"addr":"10.0.0.1:80","later":1}`), Revision: 5},
		{Kind: "target", Name: "v", Spec: []byte(`{}`)},
		{Kind: "target", Name: "w", Owner: systemOwner, Spec: []byte(`{"service":"s","failureDomain":"a-1","addr":"10.0.0.1:80","slots":3,"state":"ready","incarnation":9223372036854775807}`), Revision: 5},
		{Kind: "target", Name: "x", Owner: systemOwner, Spec: []byte(`{"service":"s","failureDomain":"a-1","addr":"10.0.0.1:99999","slots":3,"state":"ready"}`), Revision: 5},
		{Kind: "target", Name: "y", Owner: systemOwner, Spec: []byte(`{"service":"s","failureDomain":"a-1","addr":"10.0.0.2:80","slots":9223372036854775807,"state":"ready"}`), Revision: 5},
		{Kind: "moon", Name: "m", Owner: systemOwner, Spec: []byte(`{}`)},
		{Kind: "drain", Name: "a-9", Owner: systemOwner, Spec: []byte(`{"failureDomain":"a-9"}`)},
		{Kind: "drain", Name: "a:9", Owner: systemOwner, Spec: []byte(`{"failureDomain":"a:9"}`)},
	}
	_, err := s.submit(ctx, &eelpb.Change{Author: systemOwner, Objects: stored})
	assert.NilError(t, err)
	checkServes(t, s, 1)
	closeServer()
	s, closeServer = startServer(t, dir)
	defer closeServer()
	for s.o.Node.Machine().Object("moon", "m") == nil {
		time.Sleep(time.Millisecond)
	}
	assert.NilError(t, s.Announce(ctx, target(5, model.TargetReady), 1))
	assert.NilError(t, s.Withdraw(ctx, "u", 0, testPatience))
	assert.NilError(t, s.SetDrain(ctx, "a-1", true, testPatience))
	checkServes(t, s, 2)
	x, _ := s.catalogue.Targets.Get("t")
	assert.Equal(t, x.State, model.TargetReady)
	x, _ = s.catalogue.Targets.Get("u")
	assert.Equal(t, x.State, model.TargetGone)
	assert.Assert(t, s.catalogue.Drained("a-1", ""))
	assert.NilError(t, s.SetDrain(ctx, "a-9", false, testPatience))
	assert.NilError(t, s.SetDrain(ctx, "a:9", false, testPatience))
	checkServes(t, s, 3)
	assert.Assert(t, !s.catalogue.HasInvalid(model.ObjectDrain))
}

// An announcement or withdrawal whose incarnation does not fit into a revision is rejected. Cut to
// size, it would be ordered among those of other starts.
func TestIncarnationOutOfRange(t *testing.T) {
	s := newServer(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for _, n := range []uint64{1 << model.IncarnationBits, 1<<63 + 7, math.MaxUint64} {
		err := s.Announce(ctx, target(n, model.TargetReady), 1)
		assert.Check(t, errs.Is(err, model.KindInvalid), "announcement of %d: %v", n, err)
		err = s.Withdraw(ctx, "t", n, testPatience)
		assert.Check(t, errs.Is(err, model.KindInvalid), "withdrawal of %d: %v", n, err)
	}
	assert.NilError(t, s.Announce(ctx, target(1<<model.IncarnationBits-1, model.TargetReady), 1))
}
