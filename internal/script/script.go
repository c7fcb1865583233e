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

// UpdateEnv names the environment variable that makes Run write the actual
// output into the script files instead of comparing it.
const UpdateEnv = "SCRIPT_UPDATE"

const outputPrefix = "-> "

// Command is a parsed command of a script.
type Command struct {
	Name    string
	Args    []string          // words without "="
	Options map[string]string // words of the form name=value
}

// Arg returns the i-th argument, or "" if there are fewer.
func (c *Command) Arg(i int) string {
	if i < len(c.Args) {
		return c.Args[i]
	}
	return ""
}

// HasArg reports whether a word is among the arguments.
func (c *Command) HasArg(word string) bool {
	for _, a := range c.Args {
		if a == word {
			return true
		}
	}
	return false
}

// Int returns the value of an integer option, or 0 if it is absent.
func (c *Command) Int(t testing.TB, name string) int {
	v, ok := c.Options[name]
	if !ok {
		return 0
	}
	n, err := strconv.Atoi(v)
	qt.Assert(t, qt.IsNil(err))
	return n
}

// Duration parses the i-th argument as a duration.
func (c *Command) Duration(t testing.TB, i int) time.Duration {
	d, err := time.ParseDuration(c.Arg(i))
	qt.Assert(t, qt.IsNil(err))
	return d
}

// ParseClass parses a class of requests, written as priority, latency objective and
// timeout, such as 1/250ms/1500ms; all are 0 for an empty text.
func ParseClass(t testing.TB, text string) (priority uint8, objective, timeout time.Duration) {
	t.Helper()
	if text == "" {
		return 0, 0, 0
	}
	parts := strings.Split(text, "/")
	qt.Assert(t, qt.HasLen(parts, 3))
	n, err := strconv.ParseUint(parts[0], 10, 8)
	qt.Assert(t, qt.IsNil(err))
	objective, err = time.ParseDuration(parts[1])
	qt.Assert(t, qt.IsNil(err))
	timeout, err = time.ParseDuration(parts[2])
	qt.Assert(t, qt.IsNil(err))
	return uint8(n), objective, timeout
}

// Run runs each file that matches the pattern as a subtest. For each file, setup
// returns the function that executes its commands and returns their output.
func Run(t *testing.T, pattern string, setup func(t *testing.T) func(Command) []string) {
	files, err := filepath.Glob(pattern)
	qt.Assert(t, qt.IsNil(err))
	qt.Assert(t, qt.Not(qt.HasLen(files, 0)))
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), filepath.Ext(f))
		t.Run(name, func(t *testing.T) { runFile(t, f, setup(t)) })
	}
}

// runFile executes the commands of a script file and compares their output with
// the expected output, or writes it into the file if UpdateEnv is set.
func runFile(t *testing.T, file string, execute func(Command) []string) {
	text, err := os.ReadFile(file)
	qt.Assert(t, qt.IsNil(err))
	lines := strings.Split(strings.TrimRight(string(text), "\n"), "\n")
	var updated []string
	for i := 0; i < len(lines); i++ {
		updated = append(updated, lines[i])
		c, ok := parse(lines[i])
		if !ok {
			continue
		}
		lineNumber := i + 1
		got := execute(c)
		var want []string
		for i+1 < len(lines) && strings.HasPrefix(lines[i+1], outputPrefix) {
			i++
			want = append(want, strings.TrimPrefix(lines[i], outputPrefix))
		}
		for _, g := range got {
			updated = append(updated, outputPrefix+g)
		}
		if os.Getenv(UpdateEnv) == "" {
			comment := qt.Commentf("%s:%d: %s", file, lineNumber, lines[lineNumber-1])
			qt.Assert(t, qt.Equals(strings.Join(got, "\n"), strings.Join(want, "\n")), comment)
		}
	}
	if os.Getenv(UpdateEnv) != "" {
		err := os.WriteFile(file, []byte(strings.Join(updated, "\n")+"\n"), 0o644)
		qt.Assert(t, qt.IsNil(err))
	}
}

// parse parses a line. It reports false for empty lines and comments.
func parse(line string) (Command, bool) {
	words := strings.Fields(line)
	if len(words) == 0 || strings.HasPrefix(line, "#") {
		return Command{}, false
	}
	c := Command{Name: words[0], Options: make(map[string]string)}
	for _, w := range words[1:] {
		if name, value, ok := strings.Cut(w, "="); ok {
			c.Options[name] = value
			continue
		}
		c.Args = append(c.Args, w)
	}
	return c, true
}

// UnknownCommand fails the test because it does not define the command.
func UnknownCommand(t testing.TB, c Command) []string {
	t.Helper()
	t.Fatalf("unknown command %q", fmt.Sprint(c.Name, c.Args))
	return nil
}
