// Package logs creates the loggers of the programs, which write JSON lines with go-kit/log.
//
// # Usage
//
//	l, err := logs.New(os.Stderr, "info", "eelentry", "attiki-a1")
//	level.Info(l).Log("msg", "lease granted", "until", t)
package logs

import (
	"fmt"
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Levels lists the levels that New accepts.
const Levels = "debug, info, warn, error"

// New returns a logger that writes the lines of at least the minimum level.
func New(w io.Writer, minLevel, program, id string) (log.Logger, error) {
	v, err := level.Parse(minLevel)
	if err != nil {
		return nil, fmt.Errorf("level %q is not one of %s", minLevel, Levels)
	}
	l := log.NewJSONLogger(log.NewSyncWriter(w))
	l = level.NewFilter(l, level.Allow(v))
	return log.With(l, "ts", log.DefaultTimestampUTC, "program", program, "id", id), nil
}
