package entry

import (
	"context"
	"io"
)

const pacedChunkBytes = 16 << 10

// pacedReader reads an answer no faster than this VM's share of the link allows.
type pacedReader struct {
	x    *Entry
	ctx  context.Context
	r    io.Reader
	p    *permit
	left int64
}

func (x *Entry) paced(ctx context.Context, r io.Reader, p *permit) io.Reader {
	if p == nil || p.inbound == nil {
		return r
	}
	return &pacedReader{x: x, ctx: ctx, r: r, p: p, left: p.answerBytes}
}

// Read reads at most one chunk and waits until the share of the link covers it.
func (r *pacedReader) Read(b []byte) (int, error) {
	n, err := r.r.Read(b[:min(len(b), pacedChunkBytes)])
	r.left -= int64(n)
	if r.left >= 0 {
		return n, err
	}
	if err := r.x.acquireInbound(r.ctx, r.p, -r.left); err != nil {
		return n, err
	}
	r.left = 0
	return n, err
}
