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
	Deliver Kind = iota + 1 // balancer to agent: a packet for a flow of the agent's host
	Ask                     // balancer to agent: whether the host holds a flow, with or without a packet of it
	Owned                   // agent to balancer: the host holds the flow, or has accepted it
	Refused                 // agent to balancer: the packet was not given to the host, or came back
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
)

var reasonNames = [...]string{"unknown", "not_held", "full", "draining", "no_host", "wrong_service", "unsure"}

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
	Ack     uint32 // the client's last acknowledgement number, of an Ask without a packet
}

// HeaderLen is the length in bytes of an encoded Header.
const HeaderLen = 3 + 8 + packet.KeyLen + 4

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
	b = binary.BigEndian.AppendUint32(b, h.Ack)
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
	if h.Kind < Deliver || h.Kind > Refused {
		return h, nil, &Error{"decode", KindFormat, fmt.Errorf("kind %d is unknown", h.Kind)}
	}
	if int(h.Reason) >= Reasons {
		return h, nil, &Error{"decode", KindFormat, fmt.Errorf("reason %d is unknown", h.Reason)}
	}
	h.Service = ServiceID(binary.BigEndian.Uint64(b[3:]))
	h.Flow = packet.DecodeKey(b[11:])
	h.Ack = binary.BigEndian.Uint32(b[11+packet.KeyLen:])
	return h, b[HeaderLen:], nil
}
