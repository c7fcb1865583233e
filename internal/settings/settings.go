package settings

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Kinds of errors.
const (
	KindRead    = "read"
	KindSyntax  = "syntax"
	KindUnknown = "unknown_key"
	KindInvalid = "invalid"
)

// Error reports what is wrong with a settings file and where.
type Error struct {
	Op   string // the file's path
	Kind string
	Line int    // 0 when no line can be named
	Key  string // dotted
	Err  error
}

// Error returns file, line, key and cause.
func (e *Error) Error() string {
	at := e.Op
	if e.Line > 0 {
		at = fmt.Sprintf("%s:%d", e.Op, e.Line)
	}
	if e.Key != "" {
		return fmt.Sprintf("%s: %s: %v", at, e.Key, e.Err)
	}
	return fmt.Sprintf("%s: %v", at, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Invalid returns the error that a Checker gives for the value at a key.
func Invalid(key, format string, args ...any) error {
	return &Error{Kind: KindInvalid, Key: key, Err: fmt.Errorf(format, args...)}
}

// Checker is a settings struct that checks its values.
type Checker interface{ Check() error }

// Load reads the file into v and checks it.
func Load(path string, v Checker) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return &Error{Op: path, Kind: KindRead, Err: err}
	}
	return Decode(path, b, v)
}

// Decode reads TOML text into v and checks it; path is named in errors.
func Decode(path string, text []byte, v Checker) error {
	d := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return decodeError(path, err)
	}
	err := v.Check()
	if err == nil {
		return nil
	}
	var e *Error
	if !errors.As(err, &e) {
		return &Error{Op: path, Kind: KindInvalid, Err: err}
	}
	return &Error{Op: path, Kind: e.Kind, Line: lineOf(text, e.Key), Key: e.Key, Err: e.Err}
}

func decodeError(path string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		first := &strict.Errors[0]
		line, _ := first.Position()
		return &Error{Op: path, Kind: KindUnknown, Line: line, Key: strings.Join(first.Key(), "."), Err: errors.New("unknown key; see docs/CONFIGURATION.md")}
	}
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		line, _ := syntax.Position()
		return &Error{Op: path, Kind: KindSyntax, Line: line, Key: strings.Join(syntax.Key(), "."), Err: errors.New(syntax.Error())}
	}
	return &Error{Op: path, Kind: KindSyntax, Err: err}
}

// Finds the line of a dotted key such as "listen.address"; the line of its
// table when the key is absent, else 0.
func lineOf(text []byte, key string) int {
	dot := strings.LastIndex(key, ".")
	table, leaf := "", key
	if dot >= 0 {
		table, leaf = key[:dot], key[dot+1:]
	}
	current, tableLine := "", 0
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			current = strings.Trim(strings.SplitN(line, "#", 2)[0], "[] \t")
			if current == table {
				tableLine = i + 1
			}
			continue
		}
		name, _, ok := strings.Cut(line, "=")
		if ok && current == table && strings.TrimSpace(name) == leaf {
			return i + 1
		}
	}
	return tableLine
}

// Duration is a time.Duration written as a string with a unit, such as "1.5s".
type Duration time.Duration

// UnmarshalText reads the duration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is not a duration with a unit such as \"200ms\", \"1.5s\" or \"2m\"", b)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Or returns the duration, or otherwise when it is zero.
func (d Duration) Or(otherwise time.Duration) time.Duration {
	if d == 0 {
		return otherwise
	}
	return time.Duration(d)
}

// Within returns an error for the key unless the duration, when given, lies
// between low and high.
func (d Duration) Within(key string, low, high time.Duration) error {
	v := time.Duration(d)
	if d != 0 && (v < low || v > high) {
		return Invalid(key, "%v is not within %v to %v", v, low, high)
	}
	return nil
}

// Address returns an error for the key unless s is an IPv4 address with a port.
func Address(key, s string) error {
	a, err := netip.ParseAddrPort(s)
	if err != nil || !a.Addr().Is4() {
		return Invalid(key, "%q is not an IPv4 address with a port, such as \"10.1.2.3:7400\"", s)
	}
	return nil
}

// Log holds the settings of a daemon's log.
type Log struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
}

// Check reports the first invalid value.
func (l *Log) Check() error {
	if err := oneOf("log.level", l.Level, "", "debug", "info", "warn", "error"); err != nil {
		return err
	}
	return oneOf("log.format", l.Format, "", "json", "text")
}

func oneOf(key, value string, allowed ...string) error {
	for _, a := range allowed {
		if value == a {
			return nil
		}
	}
	return Invalid(key, "%q is not one of %s", value, strings.Join(allowed[1:], ", "))
}

// Secret decodes a secret of at least 16 bytes in hexadecimal.
func Secret(key, s string) ([]byte, error) {
	b, err := hex.DecodeString(strings.TrimSpace(s))
	if err != nil || len(b) < 16 {
		return nil, Invalid(key, "want at least 32 hexadecimal digits")
	}
	return b, nil
}
