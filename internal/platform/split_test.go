package platform

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/go-quicktest/qt"

	"skylarkturn/internal/script"
)

// deepValue is a JSON value that decoders refuse for its depth.
var deepValue = strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)

// TestScripts runs the scripts in testdata. Each DEEP stands for deepValue.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(t *testing.T) func(script.Command) []string {
		return func(c script.Command) []string {
			text := strings.ReplaceAll(strings.Join(c.Args, " "), "DEEP", deepValue)
			switch c.Name {
			case "array":
				elements, err := SplitArray([]byte(text))
				return format(elements, err)
			case "object":
				fields, err := SplitObject([]byte(text))
				var lines []json.RawMessage
				for _, name := range slices.Sorted(maps.Keys(fields)) {
					lines = append(lines, fmt.Appendf(nil, "%s: %s", name, fields[name]))
				}
				return format(lines, err)
			case "list": // the names of the objects in a list
				return listNames(t, text)
			}
			return script.UnknownCommand(t, c)
		}
	})
}

// format returns the elements, or the error.
func format(elements []json.RawMessage, err error) (lines []string) {
	for _, e := range elements {
		lines = append(lines, strings.ReplaceAll(string(e), deepValue, "DEEP"))
	}
	if err != nil {
		lines = append(lines, "error "+err.Error())
	}
	return lines
}

// listNames returns the names of the objects that a client finds in a list.
func listNames(t *testing.T, body string) []string {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
	defer srv.Close()
	l, err := NewClient(srv.URL, srv.Client()).List(t.Context(), "services")
	if err != nil {
		return []string{"error " + err.Error()}
	}
	names := []string{fmt.Sprint("revision ", l.Revision)}
	for _, o := range l.Items {
		names = append(names, o.Name+" "+o.Version)
	}
	return names
}

// FuzzSplitArray compares SplitArray with the decoder of the standard library, for all
// arrays that this accepts.
func FuzzSplitArray(f *testing.F) {
	for _, s := range []string{`[]`, `[1,2]`, ` [ "a,b" , {"x":[1,"]"]} ] `, `["\\","\"",null]`, `null`, `[[[]],{}]`, `[`, `"`, `["\`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		got, err := SplitArray(b)
		var want []json.RawMessage
		if json.Unmarshal(b, &want) != nil {
			return
		}
		qt.Assert(t, qt.IsNil(err))
		qt.Assert(t, qt.HasLen(got, len(want)))
		for i := range got {
			qt.Check(t, qt.Equals(string(got[i]), string(want[i])))
		}
	})
}
