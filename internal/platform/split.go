package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// SplitArray returns the elements of a JSON array without decoding them. An element
// that can't be decoded, because it is nested too deeply or has a token that is no JSON,
// does not hide the others. Null has no elements.
func SplitArray(b []byte) ([]json.RawMessage, error) { return split(b, '[', ']') }

// SplitObject returns the values of a JSON object by name without decoding them, like
// SplitArray. A field whose name can't be decoded is left out.
func SplitObject(b []byte) (map[string]json.RawMessage, error) {
	pieces, err := split(b, '{', '}')
	if err != nil {
		return nil, err
	}
	fields := make(map[string]json.RawMessage, len(pieces))
	for _, p := range pieces {
		var name string
		end := endOfString(p, 0)
		if len(p) == 0 || p[0] != '"' || end >= len(p) || json.Unmarshal(p[:end+1], &name) != nil {
			continue
		}
		value, ok := bytes.CutPrefix(bytes.TrimSpace(p[end+1:]), []byte(":"))
		if ok {
			fields[name] = bytes.TrimSpace(value)
		}
	}
	return fields, nil
}

// DecodeField decodes a field that SplitObject has found. A missing field leaves v
// unchanged.
func DecodeField(fields map[string]json.RawMessage, name string, v any) error {
	raw, ok := fields[name]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// split returns the parts between the commas of a JSON value that begins and ends with
// the given brackets. It looks only at strings and brackets, and does not recurse.
func split(b []byte, begin, end byte) (parts []json.RawMessage, err error) {
	b = bytes.TrimSpace(b)
	if len(b) == 0 || bytes.Equal(b, []byte("null")) {
		return nil, nil
	}
	if len(b) < 2 || b[0] != begin || b[len(b)-1] != end {
		return nil, fmt.Errorf("%.20q is not a JSON value between %c and %c", b, begin, end)
	}
	b = b[1 : len(b)-1]
	depth, start := 0, 0
	for i := 0; i < len(b); i++ {
		switch b[i] {
		case '"':
			i = endOfString(b, i)
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		case ',':
			if depth == 0 {
				parts = append(parts, bytes.TrimSpace(b[start:i]))
				start = i + 1
			}
		}
	}
	if depth != 0 {
		return nil, errors.New("brackets do not match")
	}
	if last := bytes.TrimSpace(b[min(start, len(b)):]); len(last) > 0 {
		parts = append(parts, last)
	}
	return parts, nil
}

// endOfString returns the index of the quote that ends the string which begins at index
// i, or the length of b if there is none.
func endOfString(b []byte, i int) int {
	for i++; i < len(b); i++ {
		switch b[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(b)
}
