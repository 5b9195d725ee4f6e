package proxy

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/reply"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"
)

const (
	// hopCancelTimeout bounds one message that a caller has left.
	hopCancelTimeout = 250 * time.Millisecond
	// hopCancelInterval is the interval between two of them, if the call that they are about has not arrived.
	hopCancelInterval = 50 * time.Millisecond
	reasonCallerLeft  = "the caller has gone"
)

// hopCall identifies a call among those that other VMs make to this one.
type hopCall struct {
	vm   model.VMID
	call uint64
}

// hasLeft reports whether the caller has left.
func (q *request) hasLeft() bool { return q.r.Context().Err() != nil }

// askRelay asks a VM to relay a request.
func (p *Proxy) askRelay(q *request, x wire.Entry) (*eelpb.RelayReply, error) {
	m := &eelpb.RelayRequest{
		Vm: string(p.o.Hop.Self), Id: q.id, Method: q.r.Method, Uri: q.r.RequestURI, Host: q.r.Host, Body: bytes.Join(q.body, nil),
		MaxSends: uint32(max(1, q.state.maxSends-q.state.sent)), RemainingMs: q.state.remaining.Milliseconds(), OverrunMs: q.overrun.Milliseconds(),
		RoutingRevision: proto.Uint64(uint64(q.revision)), Fresh: p.o.Cluster.Fresh(),
		Call: max(1, rand.Uint64()),
	}
	h := endToEnd(q.r.Header)
	if q.access.keyRequired {
		// The key of a caller does not leave the VM that the caller is connected to.
		h.Del(p.o.Headers.Authorization)
	}
	if q.access.authenticated {
		m.Workspace = string(q.access.workspace.Name)
	}
	m.Headers = encodeHeaders(h)
	// A call that is cancelled costs its connection, and a caller may still read once it sends no more.
	ctx, end := context.WithTimeout(context.WithoutCancel(q.r.Context()), q.state.remaining+q.overrun+lateResponseTimeout+hopMargin)
	defer end()
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		connected.Store(true)
		if q.hasLeft() {
			end()
		}
	}})
	stop := context.AfterFunc(q.r.Context(), func() {
		if !connected.Load() || !p.cancelRelay(ctx, x, m) {
			end()
		}
	})
	defer stop()
	memory := &memoryReservation{pool: p.responseMemory}
	r, err := eelpb.NewHopProtobufClient("http://"+x.Addr, hopClient{p.hops.client, memory}).Relay(traced, m)
	if err == nil && r.Id != q.id {
		err = errors.New("the reply is for another request")
	}
	if err == nil && r.Outcome == eelpb.RelayOutcome_RESPONDED {
		err = reply.Check(int(r.Status))
	}
	if err != nil {
		memory.release()
		return r, err
	}
	q.reservation.reserved += memory.reserved
	return r, nil
}

// cancelRelay tells a VM that the caller of a request that it relays has left, and reports whether it knows.
// Otherwise the end of the call tells it: an earlier build has no such message.
func (p *Proxy) cancelRelay(ctx context.Context, x wire.Entry, m *eelpb.RelayRequest) bool {
	c := eelpb.NewHopProtobufClient("http://"+x.Addr, p.hops.client)
	t := time.NewTicker(hopCancelInterval)
	defer t.Stop()
	for {
		// The message outlives the call, so that its connection is kept.
		sendCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), hopCancelTimeout)
		r, err := c.Cancel(sendCtx, &eelpb.CancelRequest{Vm: m.Vm, Call: m.Call})
		cancel()
		if err != nil {
			level.Info(p.o.Log).Log("msg", "relay not cancelled", "request", m.Id, "via", x.ID, "err", err)
			return false
		}
		if r.Found {
			return true
		}
		select {
		case <-ctx.Done():
			return true
		case <-t.C:
		}
	}
}

// mayHaveRun reports whether a request may have run at the VM that was asked to relay it.
func mayHaveRun(r *eelpb.RelayReply, err error) bool {
	if err != nil {
		return !isNotSent(err) && !isUnsupported(err)
	}
	return r.Outcome != eelpb.RelayOutcome_REFUSED && r.Outcome != eelpb.RelayOutcome_UNAVAILABLE
}

// Cancel ends a request of another VM's caller that has left, as far as it has not been sent.
func (s hopService) Cancel(_ context.Context, m *eelpb.CancelRequest) (*eelpb.CancelReply, error) {
	return &eelpb.CancelReply{Found: s.p.hops.cancel(hopCall{model.VMID(m.Vm), m.Call})}, nil
}

// track returns a context that ends when a call is cancelled, and a function that ends the call.
func (h *hops) track(ctx context.Context, c hopCall) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	if c.call == 0 {
		return ctx, cancel
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls[c] = cancel
	return ctx, func() {
		cancel()
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.calls, c)
	}
}

// cancel cancels a call, and reports whether it was found.
func (h *hops) cancel(c hopCall) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	cancel, ok := h.calls[c]
	if ok {
		h.counts.Cancelled++
		cancel()
		delete(h.calls, c)
	}
	return ok
}
