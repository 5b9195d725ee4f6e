package entry

import (
	"sync"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// answerSizes estimates the size of the answers of each class.
type answerSizes struct {
	m sync.Map
}

type classKey struct {
	service model.ServiceID
	class   model.ClassID
}

const (
	// firstAnswerBytes is the size assumed before any answer of the class was observed.
	firstAnswerBytes = 4 << 10
	// sizeDecayDivisor divides the difference between the estimate and a smaller answer. The
	// answer lowers the estimate by the quotient.
	sizeDecayDivisor = 50
)

// isKnown reports whether an answer of the class was observed.
func (a *answerSizes) isKnown(s model.ServiceID, c model.Class) bool {
	_, ok := a.m.Load(classKey{s, c.Name})
	return ok
}

func (a *answerSizes) expected(s model.ServiceID, c model.Class) int64 {
	if v, ok := a.m.Load(classKey{s, c.Name}); ok {
		return v.(int64)
	}
	return min(firstAnswerBytes, c.MaxAnswerBytes)
}

// observe updates the estimate: larger answers raise it at once, smaller ones lower it slowly.
func (a *answerSizes) observe(s model.ServiceID, c model.Class, n int64) {
	old := a.expected(s, c)
	if n < old {
		n = old - (old-n)/sizeDecayDivisor
	}
	a.m.Store(classKey{s, c.Name}, n)
}
