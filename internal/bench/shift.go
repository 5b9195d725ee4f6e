package bench

import (
	"bytes"
	"strings"
	"sync"

	"github.com/eelgrassroad/eelgrassroad/internal/fakes"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// journal collects the journals of all targets in memory.
type journal struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write appends lines of a target.
func (j *journal) Write(p []byte) (int, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.b.Write(p)
}

// setShifts sets MaxShifted and ShiftCap of each service.
func (r *Result) setShifts(c *model.Catalogue, j *journal) error {
	runs, err := fakes.ReadJournal[fakes.Run](&j.b)
	if err != nil {
		return err
	}
	r.MaxShifted, r.ShiftCap = map[model.ServiceID]int{}, map[model.ServiceID]int64{}
	for s := range r.Capacity {
		at := fakes.ShiftTimes(ofService(runs, s), func(d string) model.RegionID { return c.RegionOf(model.FailureDomainID(d)) })
		r.MaxShifted[s] = fakes.MaxPerSecond(at)
		for _, k := range c.Caps {
			if k.Service == s {
				r.ShiftCap[s] = k.PerSecond
			}
		}
	}
	return nil
}

// ofService returns the runs of a service. The ids of its targets start with its name.
func ofService(runs []fakes.Run, s model.ServiceID) []fakes.Run {
	var out []fakes.Run
	for _, r := range runs {
		if strings.HasPrefix(string(r.Target), string(s)+"-") {
			out = append(out, r)
		}
	}
	return out
}
