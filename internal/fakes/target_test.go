package fakes

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// senderDelay is how long a caller on a slow machine may take from connecting to
// sending its request; the target must keep the connection open for that long.
const senderDelay = time.Second

func TestSlowRequest(t *testing.T) {
	x, err := NewTarget(TargetOptions{ID: "t1", Listen: "127.0.0.1:0", Slots: 1})
	assert.NilError(t, err)
	defer x.Close()
	c, err := net.Dial("tcp", x.Addr())
	assert.NilError(t, err)
	defer c.Close()
	time.Sleep(senderDelay)
	_, err = io.WriteString(c, "GET /fake/stats HTTP/1.1\r\nHost: t1\r\n\r\n")
	assert.NilError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	defer res.Body.Close()
	assert.Equal(t, res.StatusCode, http.StatusOK)
}
