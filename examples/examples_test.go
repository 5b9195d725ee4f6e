package examples

import (
	"testing"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"gotest.tools/v3/assert"
)

func TestExamples(t *testing.T) {
	tests := []struct {
		name    string
		file    []byte
		link    model.BytesPerSecond
		delay   model.Millis
		classes int
	}{
		{"kalogeropoulos", Kalogeropoulos, 500_000_000, 20, 3},
		{"amabuye-meza", AmabuyeMeza, 35_000_000, 35, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o, err := model.Parse(tt.file)
			assert.NilError(t, err)
			c, err := model.NewCatalogue(1, o)
			assert.NilError(t, err)
			assert.Equal(t, len(c.Regions), 3)
			assert.Equal(t, len(c.Domains), 6)
			assert.Equal(t, len(c.Links), 3)
			classes := 0
			for _, m := range c.Classes {
				classes += len(m)
			}
			assert.Equal(t, classes, tt.classes)
			for _, l := range c.Links {
				assert.Equal(t, l.BytesPerSecond, tt.link)
				assert.Equal(t, l.DelayMillis, tt.delay)
			}
		})
	}
}
