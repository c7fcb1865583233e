package tunnel

import (
	"testing"
	"time"

	"github.com/go-quicktest/qt"

	"skylarkturn/internal/packet"
	"skylarkturn/internal/route"
)

var header = Header{
	Kind: Refused, Reason: Draining, Service: ServiceIDOf("bookdesk"),
	Flow: packet.Key{Client: packet.Endpoint{IP: 1, Port: 2}, Route: packet.Endpoint{IP: 3, Port: 4}},
}

func TestDecodeAppended(t *testing.T) {
	b := Append(nil, header, []byte("packet"))
	got, content, err := Decode(b)
	qt.Assert(t, qt.IsNil(err))
	qt.Check(t, qt.Equals(got, header))
	qt.Check(t, qt.Equals(string(content), "packet"))
}

// classHeader is the header of a packet that opens a flow, with the class of its requests.
var classHeader = Header{
	Kind: Deliver, Service: header.Service, Flow: header.Flow, Final: true,
	Class: route.Class{Priority: 1, Objective: 250 * time.Millisecond, Timeout: 1500 * time.Millisecond},
}

func TestDecodeAppendedClass(t *testing.T) {
	got, content, err := Decode(Append(nil, classHeader, []byte("packet")))
	qt.Assert(t, qt.IsNil(err))
	qt.Check(t, qt.Equals(got, classHeader))
	qt.Check(t, qt.Equals(string(content), "packet"))

	h := classHeader
	h.Class.Timeout = time.Hour // encoded as the longest time
	got, _, err = Decode(Append(nil, h, nil))
	qt.Assert(t, qt.IsNil(err))
	qt.Check(t, qt.Equals(got.Class.Timeout, 65535*time.Millisecond))
}

func TestDecodeMalformedClass(t *testing.T) {
	for name, change := range map[string]func(b []byte) []byte{
		"short":        func(b []byte) []byte { return b[:HeaderLen+classLen-1] },
		"unknown flag": func(b []byte) []byte { b[HeaderLen+1] |= 2; return b },
		"no objective": func(b []byte) []byte { b[HeaderLen+2], b[HeaderLen+3] = 0, 0; return b },
		"no timeout":   func(b []byte) []byte { b[HeaderLen+4], b[HeaderLen+5] = 0, 0; return b },
	} {
		_, _, err := Decode(change(Append(nil, classHeader, nil)))
		qt.Check(t, qt.IsNotNil(err), qt.Commentf("%s", name))
	}
}

func TestDecodeMalformed(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(b []byte) []byte
	}{
		{"short", func(b []byte) []byte { return b[:HeaderLen-1] }},
		{"wrong magic", func(b []byte) []byte { b[0]++; return b }},
		{"unknown kind", func(b []byte) []byte { b[1] = 99; return b }},
		{"zero kind", func(b []byte) []byte { b[1] = 0; return b }},
		{"unknown reason", func(b []byte) []byte { b[2] = 99; return b }},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, _, err := Decode(c.change(Append(nil, header, nil)))
			qt.Check(t, qt.IsNotNil(err))
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Append(nil, header, []byte("packet")))
	f.Add(Append(nil, classHeader, []byte("packet")))
	f.Fuzz(func(t *testing.T, b []byte) {
		h, content, err := Decode(b)
		if err != nil {
			return
		}
		if string(Append(nil, h, content)) != string(b) {
			t.Fatalf("%x does not match the encoding of %+v", b, h)
		}
	})
}

func TestQuestionsAndAnswers(t *testing.T) {
	q := []Question{{header.Flow, 7}, {packet.Key{Client: packet.Endpoint{IP: 9}}, 8}}
	h, content, err := Decode(AppendQuestions(nil, q))
	qt.Assert(t, qt.IsNil(err))
	qt.Check(t, qt.Equals(h.Kind, Questions))
	gotQ, err := DecodeQuestions(content)
	qt.Assert(t, qt.IsNil(err))
	qt.Check(t, qt.DeepEquals(gotQ, q))

	a := []Answer{{header.Flow, 0}, {header.Flow, NotHeld}}
	h, content, err = Decode(AppendAnswers(nil, a))
	qt.Assert(t, qt.IsNil(err))
	qt.Check(t, qt.Equals(h.Kind, Answers))
	gotA, err := DecodeAnswers(content)
	qt.Assert(t, qt.IsNil(err))
	qt.Check(t, qt.DeepEquals(gotA, a))
	qt.Check(t, qt.Equals(gotA[0].Header().Kind, Owned))
	qt.Check(t, qt.Equals(gotA[1].Header().Kind, Refused))

	_, err = DecodeQuestions(make([]byte, questionLen+1))
	qt.Check(t, qt.IsNotNil(err))
	_, err = DecodeAnswers(make([]byte, answerLen-1))
	qt.Check(t, qt.IsNotNil(err))
	content[packet.KeyLen] = 99
	_, err = DecodeAnswers(content)
	qt.Check(t, qt.IsNotNil(err))
}

func FuzzDecodeQuestionsAndAnswers(f *testing.F) {
	f.Add(make([]byte, 2*questionLen))
	f.Fuzz(func(t *testing.T, b []byte) {
		if q, err := DecodeQuestions(b); err == nil && string(AppendQuestions(nil, q)[HeaderLen:]) != string(b) {
			t.Fatalf("%x does not match the encoding of %+v", b, q)
		}
		if a, err := DecodeAnswers(b); err == nil && string(AppendAnswers(nil, a)[HeaderLen:]) != string(b) {
			t.Fatalf("%x does not match the encoding of %+v", b, a)
		}
	})
}
