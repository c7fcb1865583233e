package parcel

import (
	"encoding/binary"
	"fmt"

	"github.com/zeebo/xxh3"

	"skylarkturn/internal/packet"
)

// Magic is the first byte of every parcel; no other datagram between daemons
// begins with it.
const Magic = 0xd1

// Kind tells what a parcel is for.
type Kind uint8

// Kinds of parcels.
const (
	Deliver    Kind = iota + 1 // balancer to agent: a packet for a flow of the agent's host
	Ask                        // balancer to agent: the same, and an answer is wanted in any case
	Owned                      // agent to balancer: the host holds the flow, or has accepted it
	Refused                    // agent to balancer: the packet was not given to the host, or came back
	AskMany                    // balancer to agent: whether the host holds flows
	AnswerMany                 // agent to balancer: the answers to AskMany
)

// Reason tells why an agent refused a packet.
type Reason uint8

// Reasons of refusals.
const (
	NotHeld      Reason = iota + 1 // the host does not hold the flow
	Full                           // the host does not accept the flow
	Draining                       // the host is to get no new flows
	NoHost                         // no host has registered
	WrongService                   // the host belongs to another service
	Unsure                         // the host alone can tell, by a packet of the flow
	Crowded                        // the host has as many requests waiting as it should
)

var reasonNames = [...]string{"unknown", "not_held", "full", "draining", "no_host", "wrong_service", "unsure", "crowded"}

// Reasons is the number of reasons, for tables indexed by them.
const Reasons = len(reasonNames)

// String returns the reason in snake case.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return reasonNames[0]
}

// ServiceID identifies a service by the hash of its name.
type ServiceID uint64

// ServiceIDOf returns the identifier of the service with the name.
func ServiceIDOf(name string) ServiceID { return ServiceID(xxh3.HashString(name)) }

// Header is the head of a parcel.
type Header struct {
	Kind    Kind
	Reason  Reason    // of a Refused parcel
	Service ServiceID // that the packet was placed for; zero for a packet of an open flow
	Flow    packet.Key
}

// HeaderLen is the length in bytes of an encoded Header.
const HeaderLen = 3 + 8 + packet.KeyLen

// MaxLen is the size in bytes of the largest parcel.
const MaxLen = HeaderLen + packet.MaxLen

// KindFormat is the kind of errors for datagrams that are no parcel.
const KindFormat = "format"

// Error reports the operation of package parcel that failed and why.
type Error struct {
	Op   string
	Kind string
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("parcel: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Append appends a parcel to b; content is the packet, if any.
func Append(b []byte, h Header, content []byte) []byte {
	b = append(b, Magic, byte(h.Kind), byte(h.Reason))
	b = binary.BigEndian.AppendUint64(b, uint64(h.Service))
	b = h.Flow.Append(b)
	return append(b, content...)
}

// Is reports whether b begins like a parcel.
func Is(b []byte) bool { return len(b) > 0 && b[0] == Magic }

// Decode reads a parcel; content is a part of b.
func Decode(b []byte) (h Header, content []byte, err error) {
	if len(b) < HeaderLen || !Is(b) {
		return h, nil, &Error{"decode", KindFormat, fmt.Errorf("%d bytes are no parcel", len(b))}
	}
	h.Kind, h.Reason = Kind(b[1]), Reason(b[2])
	if h.Kind < Deliver || h.Kind > AnswerMany {
		return h, nil, &Error{"decode", KindFormat, fmt.Errorf("kind %d is unknown", h.Kind)}
	}
	if int(h.Reason) >= Reasons {
		return h, nil, &Error{"decode", KindFormat, fmt.Errorf("reason %d is unknown", h.Reason)}
	}
	h.Service = ServiceID(binary.BigEndian.Uint64(b[3:]))
	h.Flow = packet.DecodeKey(b[11:])
	return h, b[HeaderLen:], nil
}

// Question asks whether an agent's host holds a flow.
type Question struct {
	Flow packet.Key
	Ack  uint32 // the client's last acknowledgement number
}

// Answer answers a Question; its reason is zero when the host holds the flow.
type Answer struct {
	Flow   packet.Key
	Reason Reason
}

const (
	questionLen = packet.KeyLen + 4
	answerLen   = packet.KeyLen + 1
)

// MaxQuestions is the number of questions in one parcel.
const MaxQuestions = packet.MaxLen / questionLen

// AppendQuestions appends an AskMany parcel of up to MaxQuestions to b.
func AppendQuestions(b []byte, questions []Question) []byte {
	b = Append(b, Header{Kind: AskMany}, nil)
	for _, q := range questions {
		b = binary.BigEndian.AppendUint32(q.Flow.Append(b), q.Ack)
	}
	return b
}

// DecodeQuestions reads the content of an AskMany parcel.
func DecodeQuestions(content []byte) ([]Question, error) {
	if len(content)%questionLen != 0 {
		return nil, &Error{"decode questions", KindFormat, fmt.Errorf("%d bytes are no whole number of questions", len(content))}
	}
	questions := make([]Question, 0, len(content)/questionLen)
	for ; len(content) > 0; content = content[questionLen:] {
		questions = append(questions, Question{packet.DecodeKey(content), binary.BigEndian.Uint32(content[packet.KeyLen:])})
	}
	return questions, nil
}

// AppendAnswers appends an AnswerMany parcel of up to MaxQuestions answers to b.
func AppendAnswers(b []byte, answers []Answer) []byte {
	b = Append(b, Header{Kind: AnswerMany}, nil)
	for _, a := range answers {
		b = append(a.Flow.Append(b), byte(a.Reason))
	}
	return b
}

// DecodeAnswers reads the content of an AnswerMany parcel.
func DecodeAnswers(content []byte) ([]Answer, error) {
	if len(content)%answerLen != 0 {
		return nil, &Error{"decode answers", KindFormat, fmt.Errorf("%d bytes are no whole number of answers", len(content))}
	}
	answers := make([]Answer, 0, len(content)/answerLen)
	for ; len(content) > 0; content = content[answerLen:] {
		reason := Reason(content[packet.KeyLen])
		if int(reason) >= Reasons {
			return nil, &Error{"decode answers", KindFormat, fmt.Errorf("reason %d is unknown", reason)}
		}
		answers = append(answers, Answer{packet.DecodeKey(content), reason})
	}
	return answers, nil
}

// Header returns the header of the same answer in a parcel of its own.
func (a Answer) Header() Header {
	if a.Reason == 0 {
		return Header{Kind: Owned, Flow: a.Flow}
	}
	return Header{Kind: Refused, Reason: a.Reason, Flow: a.Flow}
}
