package platformstand

import (
	"errors"
	"os"
	"testing"
	"time"

	"github.com/go-quicktest/qt"

	"skylarkturn/internal/settings"
	"skylarkturn/internal/standin"
)

func loadExperiment(t *testing.T, path string) *standin.Experiment {
	t.Helper()
	var e standin.Experiment
	qt.Assert(t, qt.IsNil(settings.Load(path, &e)))
	qt.Assert(t, qt.IsNil(e.Check()))
	return &e
}

func TestRunExperiment(t *testing.T) {
	e := loadExperiment(t, "testdata/short.toml")
	r, err := RunExperiment(t.Context(), e, ExperimentOptions{Bin: buildDaemons(t), Dir: t.TempDir(), Log: os.Stderr})
	qt.Assert(t, qt.IsNil(err))
	qt.Check(t, qt.HasLen(r.Violations, 0))
	qt.Check(t, qt.IsTrue(r.Requests > 0))
	qt.Check(t, qt.IsTrue(len(r.Run.Windows) >= int(time.Duration(e.Duration)/windowLength)))
	var what []string
	for _, ev := range r.Run.Events {
		what = append(what, ev.Description)
	}
	qt.Check(t, qt.ContentEquals(what, []string{"kill_target kitdocs-1", "start_target kitdocs-1", "crash_host bookdesk-1", "kill_all", "compact"}))
}

func TestCheckExperiment(t *testing.T) {
	for path, key := range map[string]string{
		"../../testdata/experiments/zone-loss.toml":           "event.action",
		"../../testdata/experiments/platform-power-loss.toml": "",
		"testdata/many-users.toml":                            "site.service.sessions",
	} {
		err := CheckExperiment(loadExperiment(t, path))
		var invalid *settings.Error
		switch {
		case key == "":
			qt.Check(t, qt.IsNil(err))
		case qt.Check(t, qt.IsTrue(errors.As(err, &invalid)), qt.Commentf("%s", path)):
			qt.Check(t, qt.StringContains(err.Error(), key))
		}
	}
}
