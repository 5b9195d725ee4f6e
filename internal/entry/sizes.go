package entry

import (
	"sync"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// answerSizes remembers how large the answers of a class are.
type answerSizes struct {
	m sync.Map
}

type classKey struct {
	service model.ServiceID
	class   model.ClassID
}

const (
	// firstAnswerBytes is assumed before an answer of the class was seen.
	firstAnswerBytes = 4 << 10
	// sizeDecay divides the distance by which an expected size falls with each smaller answer.
	sizeDecay = 50
)

// isKnown tells whether an answer of the class was seen.
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

// observe follows larger answers at once and smaller ones slowly.
func (a *answerSizes) observe(s model.ServiceID, c model.Class, n int64) {
	old := a.expected(s, c)
	if n < old {
		n = old - (old-n)/sizeDecay
	}
	a.m.Store(classKey{s, c.Name}, n)
}
