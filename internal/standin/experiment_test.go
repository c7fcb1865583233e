package standin

import (
	"path/filepath"
	"testing"

	"github.com/go-quicktest/qt"

	"skylarkturn/internal/settings"
)

func TestExampleExperimentsAreValid(t *testing.T) {
	files, err := filepath.Glob("../../testdata/experiments/*.toml")
	qt.Assert(t, qt.IsNil(err))
	qt.Assert(t, qt.Not(qt.HasLen(files, 0)))
	for _, f := range files {
		var e Experiment
		qt.Check(t, qt.IsNil(settings.Load(f, &e)))
	}
}

func TestDemoIsValid(t *testing.T) {
	qt.Check(t, qt.IsNil(Demo(0.02).Check()))
}
