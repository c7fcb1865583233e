package script

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-quicktest/qt"
)

// UpdateVariable is the environment variable that has Run write what the
// commands give into the files, to be reviewed, in place of checking it.
const UpdateVariable = "SCRIPT_UPDATE"

const arrow = "-> "

// Command is one line of a script.
type Command struct {
	Name string
	Args []string          // words without "="
	Opts map[string]string // words of the form name=value
}

// Arg returns the i-th argument, or "" when there are fewer.
func (c *Command) Arg(i int) string {
	if i < len(c.Args) {
		return c.Args[i]
	}
	return ""
}

// Has reports whether a word is among the arguments.
func (c *Command) Has(word string) bool {
	for _, a := range c.Args {
		if a == word {
			return true
		}
	}
	return false
}

// Int returns the number given as an option, 0 when it is absent.
func (c *Command) Int(t testing.TB, name string) int {
	v, ok := c.Opts[name]
	if !ok {
		return 0
	}
	n, err := strconv.Atoi(v)
	qt.Assert(t, qt.IsNil(err))
	return n
}

// Duration returns the duration given as the i-th argument.
func (c *Command) Duration(t testing.TB, i int) time.Duration {
	d, err := time.ParseDuration(c.Arg(i))
	qt.Assert(t, qt.IsNil(err))
	return d
}

// Run runs each file that matches the pattern as a subtest; start returns the
// function that carries out its commands and returns what they give.
func Run(t *testing.T, pattern string, start func(t *testing.T) func(Command) []string) {
	files, err := filepath.Glob(pattern)
	qt.Assert(t, qt.IsNil(err))
	qt.Assert(t, qt.Not(qt.HasLen(files, 0)))
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), filepath.Ext(f))
		t.Run(name, func(t *testing.T) { runFile(t, f, start(t)) })
	}
}

func runFile(t *testing.T, file string, do func(Command) []string) {
	text, err := os.ReadFile(file)
	qt.Assert(t, qt.IsNil(err))
	lines := strings.Split(strings.TrimRight(string(text), "\n"), "\n")
	var written []string
	for i := 0; i < len(lines); i++ {
		written = append(written, lines[i])
		c, ok := parse(lines[i])
		if !ok {
			continue
		}
		at := i + 1
		got := do(c)
		var want []string
		for i+1 < len(lines) && strings.HasPrefix(lines[i+1], arrow) {
			i++
			want = append(want, strings.TrimPrefix(lines[i], arrow))
		}
		for _, g := range got {
			written = append(written, arrow+g)
		}
		if os.Getenv(UpdateVariable) == "" {
			comment := qt.Commentf("%s:%d: %s", file, at, lines[at-1])
			qt.Assert(t, qt.Equals(strings.Join(got, "\n"), strings.Join(want, "\n")), comment)
		}
	}
	if os.Getenv(UpdateVariable) != "" {
		err := os.WriteFile(file, []byte(strings.Join(written, "\n")+"\n"), 0o644)
		qt.Assert(t, qt.IsNil(err))
	}
}

func parse(line string) (Command, bool) {
	words := strings.Fields(line)
	if len(words) == 0 || strings.HasPrefix(line, "#") {
		return Command{}, false
	}
	c := Command{Name: words[0], Opts: make(map[string]string)}
	for _, w := range words[1:] {
		if name, value, ok := strings.Cut(w, "="); ok {
			c.Opts[name] = value
			continue
		}
		c.Args = append(c.Args, w)
	}
	return c, true
}

// Unknown fails the test for a command that the test does not know.
func Unknown(t testing.TB, c Command) []string {
	t.Helper()
	t.Fatalf("command %q is unknown", fmt.Sprint(c.Name, c.Args))
	return nil
}
