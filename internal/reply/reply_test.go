package reply

import (
	"net/http"
	"testing"

	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"gotest.tools/v3/assert"
)

// Guards against answers with a status that none can have, such as 000, or with one that only an interim response has.
func TestCheck(t *testing.T) {
	tests := []struct {
		status         int
		final, interim bool
	}{
		{-1, false, false},
		{0, false, false},
		{1, false, false},
		{99, false, false},
		{100, false, true},
		{101, false, false},
		{103, false, true},
		{150, false, true},
		{199, false, true},
		{200, true, false},
		{503, true, false},
		{599, true, false},
		{600, true, false},
		{999, true, false},
		{1000, false, false},
	}
	for _, tt := range tests {
		err := Check(tt.status)
		assert.Equal(t, err == nil, tt.final, "%d", tt.status)
		assert.Assert(t, err == nil || errs.Is(err, KindInvalid))
		assert.Equal(t, IsInterim(tt.status), tt.interim, "%d", tt.status)
		assert.Equal(t, CheckInterim(tt.status, nil) == nil, tt.interim, "%d", tt.status)
	}
}

// An interim response has no body, so that what follows it is the next response.
func TestCheckInterim(t *testing.T) {
	tests := []struct {
		header, value string
		ok            bool
	}{
		{"Link", "x", true},
		{"Content-Length", "0", true},
		{"Content-Length", "5", false},
		{"Transfer-Encoding", "chunked", false},
	}
	for _, tt := range tests {
		err := CheckInterim(http.StatusEarlyHints, http.Header{tt.header: {tt.value}})
		assert.Equal(t, err == nil, tt.ok, "%s: %s", tt.header, tt.value)
	}
}
