package standin

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/go-quicktest/qt"
)

// TestProofsExist checks that every test named in docs/PROOFS.md exists.
func TestProofsExist(t *testing.T) {
	page, err := os.ReadFile("../../docs/PROOFS.md")
	qt.Assert(t, qt.IsNil(err))
	var sources strings.Builder
	err = filepath.WalkDir("../..", func(path string, _ os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		b, err := os.ReadFile(path)
		sources.Write(b)
		return err
	})
	qt.Assert(t, qt.IsNil(err))
	names := regexp.MustCompile(`\b(Test|Fuzz)[A-Z]\w+`).FindAllString(string(page), -1)
	qt.Assert(t, qt.Not(qt.HasLen(names, 0)))
	for _, name := range names {
		qt.Check(t, qt.StringContains(sources.String(), "func "+name+"("))
	}
}
