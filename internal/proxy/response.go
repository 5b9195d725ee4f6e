package proxy

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// maxHeadBytes bounds the head of an answer, with the interim ones before it.
	maxHeadBytes = 64 << 10
	// maxInterimResponses bounds the interim answers (status 1xx) before an answer.
	maxInterimResponses = 8
	// maxResponseBytes bounds an answer that is read whole.
	maxResponseBytes = 64 << 20
	// maxFramingBytes is what chunks and their sizes may add to an answer.
	maxFramingBytes = maxResponseBytes / 4
	// unreservedBytes of each answer are held without asking, so that answers of the
	// usual size are read while large ones, or those without end, have filled the rest.
	unreservedBytes = 32 << 10
)

var (
	errHeadTooLong = errors.New("the head of the answer, or the answers before it, do not end")
	errTooLong     = errors.New("the answer is over the bound of one that is read whole")
	errNoMemory    = errors.New("large answers fill the memory that is kept for them")
)

// bounded bounds what is read from a connection.
type limitedReader struct {
	r         io.Reader
	remaining int64
	// over is the error where nothing is left.
	limitErr error
}

// Read reads while the bound allows it.
func (b *limitedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, b.limitErr
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	return n, err
}

func (b *limitedReader) setLimit(n int64, limitErr error) { b.remaining, b.limitErr = n, limitErr }

// holding is the memory that the answers to one request take, out of that of all.
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

// initialBufferBytes is what an answer is given to begin with.
const initialBufferBytes = 4 << 10

// read reads one final answer and the id that it bears. It tells whether another
// answer may follow on the connection. After an error the connection cannot be used.
func (x *conn) read(q call) (r result, id string, reusable bool, err error) {
	// To close the body would read one without end; the connection is closed instead.
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
		if id == "" {
			// A target that refuses may do so before it has read the id. A second copy of
			// such an answer could not be told from the answer to a later request.
			id, reusable = q.id, false
		}
	}
	if !r.wrongTarget {
		r.leaving = a.Header.Get(q.headers.Leaving) == leavingValue
		r.pause = parsePause(a.StatusCode, a.Header)
	}
	return r, id, reusable, nil
}

// readHead reads the head of a final answer.
func (x *conn) readHead(method string) (*http.Response, error) {
	x.limit.setLimit(maxHeadBytes, errHeadTooLong)
	for range maxInterimResponses {
		a, err := http.ReadResponse(x.r, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if a.StatusCode >= http.StatusOK {
			return a, nil
		}
	}
	return nil, errHeadTooLong
}

func newReader(r io.Reader) (*limitedReader, *bufio.Reader) {
	b := &limitedReader{r: r}
	return b, bufio.NewReaderSize(b, initialBufferBytes)
}

// idleTimeout returns how long a connection may be kept idle.
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
