package proxy

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/reply"
	"golang.org/x/sync/semaphore"
)

const (
	// maxHeadBytes is the maximum size of a response's head, including the interim responses
	// before it.
	maxHeadBytes = 64 << 10
	// maxInterimResponses is the maximum number of response heads read for one response: those of
	// interim responses (status 1xx) and the final one.
	maxInterimResponses = 8
	// maxResponseBytes is the maximum size of a response body.
	maxResponseBytes = 64 << 20
	// maxFramingBytes is the maximum that chunk framing may add to a response body.
	maxFramingBytes = maxResponseBytes / 4
	// unreservedBytes of each response are buffered without a reservation, so that responses of
	// the usual size can be read even while large or endless responses have used up the shared
	// memory.
	unreservedBytes = 32 << 10
)

var (
	errHeadTooLong = errors.New("the head of the answer, or the answers before it, do not end")
	errTooLong     = errors.New("the answer is over the bound of one that is read whole")
	errNoMemory    = errors.New("large answers fill the memory that is kept for them")
)

// limitedReader limits the bytes that are read from a connection.
type limitedReader struct {
	r         io.Reader
	remaining int64
	// limitErr is the error returned when the limit is reached.
	limitErr error
}

// Read reads up to the limit.
func (b *limitedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, b.limitErr
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	return n, err
}

func (b *limitedReader) setLimit(n int64, limitErr error) { b.remaining, b.limitErr = n, limitErr }

// memoryReservation is the part of the shared response memory that the responses to one request
// take.
type memoryReservation struct {
	pool     *semaphore.Weighted
	reserved int64
}

func (h *memoryReservation) reserve(n int64) bool {
	if !h.pool.TryAcquire(n) {
		return false
	}
	h.reserved += n
	return true
}

func (h *memoryReservation) release() {
	h.pool.Release(h.reserved)
	h.reserved = 0
}

// readAll reads a body to its end.
func (h *memoryReservation) readAll(r io.Reader) ([]byte, error) {
	b := make([]byte, 0, initialBufferBytes)
	for {
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case errors.Is(err, io.EOF):
			return b, nil
		case err != nil:
			return nil, err
		case len(b) > maxResponseBytes:
			return nil, errTooLong
		}
		if len(b) < cap(b) {
			continue
		}
		size := 2 * cap(b)
		if size > unreservedBytes && !h.reserve(int64(size-cap(b))) {
			return nil, errNoMemory
		}
		b = append(make([]byte, 0, size), b...)
	}
}

// initialBufferBytes is the initial size of a response buffer.
const initialBufferBytes = 4 << 10

// read reads one final response and returns its request id, and whether another response may
// follow on the connection. isFirst means that the connection has carried no response before.
// After an error the connection cannot be reused.
func (x *conn) read(q call, isFirst bool) (r result, id string, reusable bool, err error) {
	// Closing the body would read an endless one to its end; the connection is closed instead.
	a, err := x.readHead(q.method) //nolint:bodyclose
	if err != nil {
		return r, "", false, err
	}
	if a.ContentLength > maxResponseBytes {
		return r, "", false, errTooLong
	}
	x.limit.setLimit(maxResponseBytes+maxFramingBytes, errTooLong)
	body, err := q.reservation.readAll(a.Body)
	if err != nil {
		return r, "", false, err
	}
	framed := a.ContentLength >= 0 || len(a.TransferEncoding) > 0 || !bodyAllowed(a.StatusCode) || q.method == http.MethodHead
	reusable = framed && !a.Close
	x.expires = time.Now().Add(idleTimeout(a.Header))
	id = a.Header.Get(q.headers.RequestID)
	r = result{status: a.StatusCode, body: body, header: endToEnd(a.Header)}
	r.load, r.hasLoad = q.headers.parseLoad(a.Header)
	if a.Header.Get(q.headers.NotRun) != "" || a.StatusCode == http.StatusMisdirectedRequest {
		r.outcome = notRun
		r.wrongTarget = a.StatusCode == http.StatusMisdirectedRequest
		if id == "" && isFirst {
			// A target may refuse a request before it has read the id. On a connection that has
			// carried a response, a refusal without an id may be a late copy of an earlier one, or
			// other additional bytes, while the target runs the request.
			id, reusable = q.id, false
		}
	}
	if !r.wrongTarget {
		r.leaving = a.Header.Get(q.headers.Leaving) == leavingValue
		r.pause = parsePause(a.StatusCode, a.Header)
		r.limit, r.hasLimit = q.headers.parseLimit(a.Header)
		// Only a response of the target itself takes back a limit.
		r.hasLimit = r.hasLimit && (r.limit > 0 || r.outcome == notRun || a.Header.Get(q.headers.Digest) != "")
	}
	return r, id, reusable, nil
}

// readHead reads the head of a final response.
func (x *conn) readHead(method string) (*http.Response, error) {
	x.limit.setLimit(maxHeadBytes, errHeadTooLong)
	for range maxInterimResponses {
		a, err := http.ReadResponse(x.r, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if !reply.IsInterim(a.StatusCode) {
			return a, reply.Check(a.StatusCode)
		}
		if len(a.TransferEncoding) > 0 {
			a.Header.Set("Transfer-Encoding", a.TransferEncoding[0]) // The library removes it.
		}
		if err := reply.CheckInterim(a.StatusCode, a.Header); err != nil {
			return nil, err
		}
	}
	return nil, errHeadTooLong
}

func newReader(r io.Reader) (*limitedReader, *bufio.Reader) {
	b := &limitedReader{r: r}
	return b, bufio.NewReaderSize(b, initialBufferBytes)
}

// idleTimeout returns how long a connection may stay idle.
func idleTimeout(h http.Header) time.Duration {
	for _, p := range strings.Split(h.Get("Keep-Alive"), ",") {
		n, v, _ := strings.Cut(strings.TrimSpace(p), "=")
		if !strings.EqualFold(n, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(v); err == nil {
			return max(0, time.Duration(s)*time.Second-idleMargin)
		}
	}
	return defaultIdleTimeout
}
