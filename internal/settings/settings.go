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

// Error kinds.
const (
	KindRead       = "read"
	KindSyntax     = "syntax"
	KindUnknownKey = "unknown_key"
	KindInvalid    = "invalid"
)

// Error describes a problem in a settings file and its position.
type Error struct {
	Path string // path of the file
	Kind string
	Line int    // 1-based; 0 if unknown
	Key  string // dotted, such as "listen.address"
	Err  error
}

// Error returns a message with the file, the line, the key and the cause.
func (e *Error) Error() string {
	pos := e.Path
	if e.Line > 0 {
		pos = fmt.Sprintf("%s:%d", e.Path, e.Line)
	}
	if e.Key != "" {
		return fmt.Sprintf("%s: %s: %v", pos, e.Key, e.Err)
	}
	return fmt.Sprintf("%s: %v", pos, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Invalidf returns an error for the value of a key, for use in Check methods.
func Invalidf(key, format string, args ...any) error {
	return &Error{Kind: KindInvalid, Key: key, Err: fmt.Errorf(format, args...)}
}

// Checker is a settings struct that can validate its values.
type Checker interface{ Check() error }

// Load decodes the file at path into v and validates it.
func Load(path string, v Checker) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return &Error{Path: path, Kind: KindRead, Err: err}
	}
	return Decode(path, b, v)
}

// Decode decodes TOML text into v and validates it. Path appears in errors.
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
		return &Error{Path: path, Kind: KindInvalid, Err: err}
	}
	return &Error{Path: path, Kind: e.Kind, Line: findLine(text, e.Key), Key: e.Key, Err: e.Err}
}

// decodeError converts an error of the TOML decoder to an Error.
func decodeError(path string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		first := &strict.Errors[0]
		line, _ := first.Position()
		return &Error{Path: path, Kind: KindUnknownKey, Line: line, Key: strings.Join(first.Key(), "."), Err: errors.New("unknown key; see docs/CONFIGURATION.md")}
	}
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		line, _ := syntax.Position()
		return &Error{Path: path, Kind: KindSyntax, Line: line, Key: strings.Join(syntax.Key(), "."), Err: errors.New(syntax.Error())}
	}
	return &Error{Path: path, Kind: KindSyntax, Err: err}
}

// findLine returns the line number of a dotted key such as "listen.address". If the
// key is absent it returns the line of its table, or 0 if that is absent too.
func findLine(text []byte, key string) int {
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

// Duration is a time.Duration in the form of a string with a unit, such as "1.5s".
type Duration time.Duration

// UnmarshalText parses a duration with a unit.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is not a duration with a unit such as \"200ms\", \"1.5s\" or \"2m\"", b)
	}
	*d = Duration(v)
	return nil
}

// MarshalText formats the duration with a unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Or returns the duration, or fallback if it is zero.
func (d Duration) Or(fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return time.Duration(d)
}

// CheckRange returns an error for the key unless the duration is zero or lies
// between low and high, both inclusive.
func (d Duration) CheckRange(key string, low, high time.Duration) error {
	v := time.Duration(d)
	if d != 0 && (v < low || v > high) {
		return Invalidf(key, "%v is not within %v to %v", v, low, high)
	}
	return nil
}

// CheckAddress returns an error for the key unless s is an IPv4 address with a
// port.
func CheckAddress(key, s string) error {
	a, err := netip.ParseAddrPort(s)
	if err != nil || !a.Addr().Is4() {
		return Invalidf(key, "%q is not an IPv4 address with a port, such as \"10.1.2.3:7400\"", s)
	}
	return nil
}

// Log contains the logging settings of a daemon.
type Log struct {
	Level  string `toml:"level"`  // debug, info, warn or error; empty for info
	Format string `toml:"format"` // json or text; empty for json
}

// Check returns an error for the first invalid value.
func (l *Log) Check() error {
	if err := oneOf("log.level", l.Level, "", "debug", "info", "warn", "error"); err != nil {
		return err
	}
	return oneOf("log.format", l.Format, "", "json", "text")
}

// oneOf returns an error for the key unless value is one of allowed. The first
// element of allowed must be "", which selects the default and is left out of the
// message.
func oneOf(key, value string, allowed ...string) error {
	for _, a := range allowed {
		if value == a {
			return nil
		}
	}
	return Invalidf(key, "%q is not one of %s", value, strings.Join(allowed[1:], ", "))
}

const minSecretLen = 16 // bytes

// DecodeSecret decodes a hexadecimal secret of at least minSecretLen bytes.
func DecodeSecret(key, s string) ([]byte, error) {
	b, err := hex.DecodeString(strings.TrimSpace(s))
	if err != nil || len(b) < minSecretLen {
		return nil, Invalidf(key, "must have at least %d hexadecimal digits", 2*minSecretLen)
	}
	return b, nil
}
