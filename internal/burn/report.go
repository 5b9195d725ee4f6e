package burn

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// The burn rates that both windows of a pair must reach for an alert.
const (
	pageBurnRate   = 14.4
	ticketBurnRate = 6.0
)

// Alert is the reaction that a burn rate requires.
type Alert string

// The alerts.
const (
	AlertNone   Alert = "none"
	AlertTicket Alert = "ticket"
	AlertPage   Alert = "page"
)

// Line is the report on one class and policy.
type Line struct {
	Key
	Counts Counts `json:"counts"`
	// Objective is the fraction of requests that must be good.
	Objective float64 `json:"objective"`
	// BudgetLeft is the unused fraction of the error budget since the start; 1 means all of it.
	BudgetLeft float64 `json:"budgetLeft"`
	// The burn rates by window; 1 uses up the budget exactly.
	FiveMinutes   float64 `json:"burn5m"`
	OneHour       float64 `json:"burn1h"`
	ThirtyMinutes float64 `json:"burn30m"`
	SixHours      float64 `json:"burn6h"`
	Alert         Alert   `json:"alert"`
	// The latencies of answered requests in milliseconds.
	P50  float64 `json:"p50Millis"`
	P99  float64 `json:"p99Millis"`
	P999 float64 `json:"p999Millis"`
	Mean float64 `json:"meanMillis"`
	// MeanError is half the width of the mean's 95 % confidence interval.
	MeanError float64 `json:"meanErrorMillis"`
	// Refused is the fraction with the outcome notRun, with its 95 % Wilson interval.
	Refused         float64    `json:"refused"`
	RefusedInterval [2]float64 `json:"refusedInterval"`
	// Headroom is the mean free fraction of the slots of the chosen sites.
	Headroom float64 `json:"headroom"`
}

// Report returns a line for each of the merged series.
func Report(all []Series, classes map[model.ServiceID]map[model.ClassID]model.Class) []Line {
	out := make([]Line, 0, len(all))
	for _, s := range all {
		out = append(out, line(s, classes[s.Service][s.Class]))
	}
	return out
}

func line(s Series, c model.Class) Line {
	l := Line{Key: s.Key, Counts: s.Counts, Objective: c.Objective, Alert: AlertNone}
	errorBudget := 1 - c.Objective
	l.FiveMinutes = s.FiveMin.burnRate(errorBudget)
	l.OneHour = s.Hour.burnRate(errorBudget)
	l.ThirtyMinutes = s.HalfHour.burnRate(errorBudget)
	l.SixHours = s.SixHours.burnRate(errorBudget)
	l.BudgetLeft = 1 - Window{Good: s.Counts.Good, All: s.Counts.All}.burnRate(errorBudget)
	if l.ThirtyMinutes >= ticketBurnRate && l.SixHours >= ticketBurnRate {
		l.Alert = AlertTicket
	}
	if l.FiveMinutes >= pageBurnRate && l.OneHour >= pageBurnRate {
		l.Alert = AlertPage
	}
	l.setLatency(s)
	n := float64(max(1, s.Counts.All))
	l.Refused = float64(s.Counts.NotRun) / n
	l.RefusedInterval = wilson(float64(s.Counts.NotRun), n)
	l.Headroom = s.Counts.Headroom / n
	return l
}

func (l *Line) setLatency(s Series) {
	h := hdrhistogram.Import(s.Latency)
	l.P50 = millis(h.ValueAtQuantile(50))
	l.P99 = millis(h.ValueAtQuantile(99))
	l.P999 = millis(h.ValueAtQuantile(99.9))
	if n := h.TotalCount(); n > 0 {
		l.Mean = h.Mean() / 1000
		l.MeanError = z95 * h.StdDev() / math.Sqrt(float64(n)) / 1000
	}
}

func millis(micros int64) float64 {
	return float64(micros) / 1000
}

func (w Window) burnRate(errorBudget float64) float64 {
	if w.All == 0 || errorBudget <= 0 {
		return 0
	}
	return float64(w.All-w.Good) / float64(w.All) / errorBudget
}

// wilson returns the 95 % score interval of a proportion k/n (Wilson, 1927).
func wilson(k, n float64) [2]float64 {
	p, z := k/n, z95
	d := 1 + z*z/n
	m := (p + z*z/(2*n)) / d
	h := z / d * math.Sqrt(p*(1-p)/n+z*z/(4*n*n))
	return [2]float64{max(0, m-h), min(1, m+h)}
}
