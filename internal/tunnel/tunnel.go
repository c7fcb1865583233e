package tunnel

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"github.com/zeebo/xxh3"

	"skylarkturn/internal/packet"
	"skylarkturn/internal/route"
)

// Magic is the first byte of a tunnel datagram, and ClassMagic that of one whose header
// has the class of the flow's requests. No other datagram between daemons starts with
// them.
const (
	Magic      = 0xd1
	ClassMagic = 0xd4
)

// Kind is the type of a tunnel datagram.
type Kind uint8

// Kinds of tunnel datagrams.
const (
	Deliver   Kind = iota + 1 // balancer to agent: a packet of a flow that belongs to the agent's host
	Ask                       // balancer to agent: like Deliver, but always answered
	Owned                     // agent to balancer: the host holds the flow, or has accepted it with the packet in the datagram
	Refused                   // agent to balancer: the packet was not forwarded to the host, or the host returned it
	Questions                 // balancer to agent: questions whether the host holds flows
	Answers                   // agent to balancer: answers to a Questions datagram
)

// Reason is the reason why an agent refused a packet.
type Reason uint8

// Reasons of a refusal.
const (
	NotHeld      Reason = iota + 1 // the host does not hold the flow
	Full                           // the host does not accept the flow
	Draining                       // the host accepts no new flows because it is draining
	NoHost                         // no host has registered
	WrongService                   // the host runs another service
	Unsure                         // the agent does not know; a packet of the flow must be forwarded to the host to find out
	Crowded                        // the host can't serve a request of the flow in time
	Busy                           // requests wait for the host; only in reply to a class without Final
)

var reasonNames = [...]string{"unknown", "not_held", "full", "draining", "no_host", "wrong_service", "unsure", "crowded", "busy"}

// NumReasons is the number of reasons, for arrays indexed by Reason.
const NumReasons = len(reasonNames)

// String returns the reason in snake case.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return reasonNames[0]
}

// ServiceID is the hash of a service name.
type ServiceID uint64

// ServiceIDOf returns the ID of the service with the given name.
func ServiceIDOf(name string) ServiceID { return ServiceID(xxh3.HashString(name)) }

// Header is the header of a tunnel datagram. Questions and Answers datagrams set only
// Kind, since they contain the flows.
type Header struct {
	Kind    Kind
	Reason  Reason      // set if Kind is Refused
	Service ServiceID   // service that a new flow was routed to; zero for a packet of an open flow
	Flow    packet.Key  // flow that the packet or the answer belongs to
	Class   route.Class // class of the flow's requests, if known; only for agents that accept it
	Final   bool        // no less busy target is known for the new flow; encoded only with a class
}

const (
	// HeaderLen is the length in bytes of an encoded Header without a class.
	HeaderLen = 3 + 8 + packet.KeyLen

	classLen = 1 + 1 + 2 + 2 // bytes of an encoded class, with flags

	// MaxLen is the size in bytes of the largest tunnel datagram.
	MaxLen = HeaderLen + classLen + packet.MaxLen
)

// finalFlag is the bit of Header.Final in the flags of an encoded class.
const finalFlag = 1

// KindFormat is the Error kind of malformed tunnel datagrams.
const KindFormat = "format"

// Error reports the operation of package tunnel that failed and why.
type Error struct {
	Op   string
	Kind string
	Err  error
}

// Error returns the operation, the kind and the underlying error.
func (e *Error) Error() string { return fmt.Sprintf("tunnel: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Append appends a tunnel datagram to b. content is the packet, if there is one.
func Append(b []byte, h Header, content []byte) []byte {
	magic := byte(Magic)
	if h.Class.Known() {
		magic = ClassMagic
	}
	b = append(b, magic, byte(h.Kind), byte(h.Reason))
	b = binary.BigEndian.AppendUint64(b, uint64(h.Service))
	b = h.Flow.Append(b)
	if h.Class.Known() {
		b = appendClass(b, h.Class, h.Final)
	}
	return append(b, content...)
}

// appendClass appends an encoded class, with times in milliseconds.
func appendClass(b []byte, c route.Class, final bool) []byte {
	flags := byte(0)
	if final {
		flags = finalFlag
	}
	b = append(b, c.Priority, flags)
	b = binary.BigEndian.AppendUint16(b, milliseconds(c.Objective))
	return binary.BigEndian.AppendUint16(b, milliseconds(c.Timeout))
}

// milliseconds returns a time in milliseconds, at least 1 and at most 65,535.
func milliseconds(d time.Duration) uint16 {
	return uint16(min(max(d.Milliseconds(), 1), math.MaxUint16))
}

// decodeClass decodes what appendClass has appended.
func decodeClass(b []byte) (c route.Class, final bool) {
	c.Priority = b[0]
	c.Objective = time.Duration(binary.BigEndian.Uint16(b[2:])) * time.Millisecond
	c.Timeout = time.Duration(binary.BigEndian.Uint16(b[4:])) * time.Millisecond
	return c, b[1]&finalFlag != 0
}

// HasMagic reports whether b starts with a magic byte of tunnel datagrams.
func HasMagic(b []byte) bool { return len(b) > 0 && (b[0] == Magic || b[0] == ClassMagic) }

// Decode decodes a tunnel datagram. content is a subslice of b.
func Decode(b []byte) (h Header, content []byte, err error) {
	if len(b) < HeaderLen || !HasMagic(b) || b[0] == ClassMagic && len(b) < HeaderLen+classLen {
		return h, nil, &Error{"decode", KindFormat, fmt.Errorf("datagram of %d bytes is too short or lacks the magic byte", len(b))}
	}
	h.Kind, h.Reason = Kind(b[1]), Reason(b[2])
	if h.Kind < Deliver || h.Kind > Answers {
		return h, nil, &Error{"decode", KindFormat, fmt.Errorf("unknown kind %d", h.Kind)}
	}
	if int(h.Reason) >= NumReasons {
		return h, nil, &Error{"decode", KindFormat, fmt.Errorf("unknown reason %d", h.Reason)}
	}
	h.Service = ServiceID(binary.BigEndian.Uint64(b[3:]))
	h.Flow = packet.DecodeKey(b[11:])
	content = b[HeaderLen:]
	if b[0] == ClassMagic {
		h.Class, h.Final = decodeClass(content)
		if !h.Class.Known() || content[1]&^finalFlag != 0 {
			return h, nil, &Error{"decode", KindFormat, fmt.Errorf("invalid class %x", content[:classLen])}
		}
		content = content[classLen:]
	}
	return h, content, nil
}

// Question asks whether an agent's host holds a flow.
type Question struct {
	Flow packet.Key
	Ack  uint32 // the client's last acknowledgement number
}

// Answer is the answer to a Question.
type Answer struct {
	Flow   packet.Key
	Reason Reason // zero if the host holds the flow
}

const (
	questionLen = packet.KeyLen + 4 // bytes of an encoded Question
	answerLen   = packet.KeyLen + 1 // bytes of an encoded Answer
)

// MaxQuestions is the maximum number of questions in a tunnel datagram.
const MaxQuestions = packet.MaxLen / questionLen

// AppendQuestions appends a Questions datagram to b, with at most MaxQuestions questions.
func AppendQuestions(b []byte, questions []Question) []byte {
	b = Append(b, Header{Kind: Questions}, nil)
	for _, q := range questions {
		b = binary.BigEndian.AppendUint32(q.Flow.Append(b), q.Ack)
	}
	return b
}

// DecodeQuestions decodes the content of a Questions datagram.
func DecodeQuestions(content []byte) ([]Question, error) {
	if len(content)%questionLen != 0 {
		return nil, &Error{"decode questions", KindFormat, fmt.Errorf("length %d is not a multiple of %d bytes", len(content), questionLen)}
	}
	questions := make([]Question, 0, len(content)/questionLen)
	for ; len(content) > 0; content = content[questionLen:] {
		questions = append(questions, Question{packet.DecodeKey(content), binary.BigEndian.Uint32(content[packet.KeyLen:])})
	}
	return questions, nil
}

// AppendAnswers appends an Answers datagram to b, with at most MaxQuestions answers.
func AppendAnswers(b []byte, answers []Answer) []byte {
	b = Append(b, Header{Kind: Answers}, nil)
	for _, a := range answers {
		b = append(a.Flow.Append(b), byte(a.Reason))
	}
	return b
}

// DecodeAnswers decodes the content of an Answers datagram.
func DecodeAnswers(content []byte) ([]Answer, error) {
	if len(content)%answerLen != 0 {
		return nil, &Error{"decode answers", KindFormat, fmt.Errorf("length %d is not a multiple of %d bytes", len(content), answerLen)}
	}
	answers := make([]Answer, 0, len(content)/answerLen)
	for ; len(content) > 0; content = content[answerLen:] {
		reason := Reason(content[packet.KeyLen])
		if int(reason) >= NumReasons {
			return nil, &Error{"decode answers", KindFormat, fmt.Errorf("unknown reason %d", reason)}
		}
		answers = append(answers, Answer{packet.DecodeKey(content), reason})
	}
	return answers, nil
}

// Header returns the header of a tunnel datagram that carries only this answer.
func (a Answer) Header() Header {
	if a.Reason == 0 {
		return Header{Kind: Owned, Flow: a.Flow}
	}
	return Header{Kind: Refused, Reason: a.Reason, Flow: a.Flow}
}
