package fakes

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// ReadJournal reads the JSON lines of a journal. It skips lines that are not
// valid JSON: the last line of a killed process may be truncated.
func ReadJournal[T any](r io.Reader) ([]T, error) {
	var out []T
	s := bufio.NewScanner(r)
	for s.Scan() {
		var x T
		if json.Unmarshal(s.Bytes(), &x) == nil {
			out = append(out, x)
		}
	}
	return out, s.Err()
}

// ShiftTimes returns the times, in order, at which requests ran outside their home region.
func ShiftTimes(runs []Run, regionOf func(domain string) model.RegionID) []time.Time {
	var at []time.Time
	for _, r := range runs {
		if regionOf(r.Domain) != r.Home {
			at = append(at, r.At)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	return at
}

// MaxPerSecond returns the maximum number of times within any window of one
// second. The times must be in order.
func MaxPerSecond(at []time.Time) int {
	maxCount, start := 0, 0
	for i := range at {
		for at[i].Sub(at[start]) >= time.Second {
			start++
		}
		maxCount = max(maxCount, i-start+1)
	}
	return maxCount
}
