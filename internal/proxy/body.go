package proxy

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// requestBody is the body of a request in parts, so that a large one is neither copied while it is
// read nor while it is sent.
type requestBody [][]byte

// maxPartBytes is the maximum size of a part.
const maxPartBytes = 1 << 20

func (b requestBody) len() int64 {
	var n int64
	for _, p := range b {
		n += int64(len(p))
	}
	return n
}

// readBody reads a body of the expected size, or of an unknown one if that is negative. It reserves
// the memory for all of a body of known size at once, so that of several large ones at the same time
// some are read whole, and for each part of another one before its bytes arrive.
func (h *memoryReservation) readBody(r io.Reader, expected, maxBytes int64) (requestBody, error) {
	if expected > unreservedBytes && !h.reserve(expected) {
		return nil, errNoMemory
	}
	var b requestBody
	var total int64
	for size := int64(initialBufferBytes); total != expected; size = min(2*size, maxPartBytes) {
		if expected >= 0 {
			size = min(size, expected-total)
		} else if total+size > unreservedBytes && !h.reserve(size) {
			return nil, errNoMemory
		}
		p, err := fill(r, make([]byte, size))
		total += int64(len(p))
		if total > maxBytes {
			return nil, errTooLong
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
		b = append(b, p)
		if errors.Is(err, io.EOF) {
			break
		}
	}
	return b, nil
}

// fill reads until p is full and returns what it has read.
func fill(r io.Reader, p []byte) ([]byte, error) {
	for n := 0; n < len(p); {
		m, err := r.Read(p[n:])
		n += m
		if err != nil {
			return p[:n], err
		}
	}
	return p, nil
}

// writeTo writes a head and the body. A small body is sent with the head in one piece.
func (b requestBody) writeTo(c net.Conn, head []byte) error {
	if b.len() <= unreservedBytes {
		for _, p := range b {
			head = append(head, p...)
		}
		_, err := c.Write(head)
		return err
	}
	all := append(net.Buffers{head}, b...)
	_, err := all.WriteTo(c)
	return err
}

// readBodyInTime reads the body until the deadline of the request at the latest, so that a caller who
// stops sending does not keep the memory for a large one.
func (q *request) readBodyInTime(limit int64) (requestBody, error) {
	read := func() (requestBody, error) { return q.bodyReservation.readBody(q.r.Body, q.r.ContentLength, limit) }
	if q.r.ContentLength >= 0 && q.r.ContentLength <= unreservedBytes {
		return read()
	}
	c := http.NewResponseController(q.w)
	if err := c.SetReadDeadline(time.Now().Add(q.deadline - q.start)); err != nil {
		return read() // The writer has no deadlines.
	}
	b, err := read()
	if err != nil {
		// The server reads the rest of a body before it responds, which the deadline ends too.
		return nil, err
	}
	// The server looks for the end of the connection while the request is served.
	return b, c.SetReadDeadline(time.Time{})
}
