package fakes

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// ReadJournal reads a journal. The last line of a killed process may be cut, and is left out.
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

// ShiftTimes returns when requests ran outside their home region, in order.
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

// MaxPerSecond returns the most moments that lie within any second. They are in order.
func MaxPerSecond(at []time.Time) int {
	most, from := 0, 0
	for i := range at {
		for at[i].Sub(at[from]) >= time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}
