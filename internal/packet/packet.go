package packet

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/zeebo/xxh3"

	"skylarkturn/internal/flow"
)

// Flags is the set of flags of a packet.
type Flags uint8

// Flags of packets.
const (
	SYN     Flags = 1 << iota // opens a flow
	ACK                       // acknowledges received data
	FIN                       // the sender has no more data
	RST                       // aborts the flow
	Bounced                   // returned by a host that does not hold the flow
)

// Has reports whether all of the given flags are set.
func (f Flags) Has(g Flags) bool { return f&g == g }

// Endpoint is an IPv4 address and port, smaller and cheaper to hash than a
// netip.AddrPort.
type Endpoint struct {
	IP   uint32
	Port uint16
}

// EndpointOf converts an IPv4 address and port. It panics for an IPv6 address.
func EndpointOf(a netip.AddrPort) Endpoint {
	a4 := a.Addr().As4()
	return Endpoint{binary.BigEndian.Uint32(a4[:]), a.Port()}
}

// Hash returns a hash of the endpoint that is the same in every process.
func (e Endpoint) Hash() uint64 { return flow.Mix(uint64(e.IP)<<16 | uint64(e.Port)) }

// Place returns a number in [0, 1) that differs between endpoints. Daemons use it to
// act at different times.
func (e Endpoint) Place() float64 { return float64(uint32(e.Hash())) / (1 << 32) }

// AddrPort returns the endpoint as a netip.AddrPort.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(e.Addr(), e.Port)
}

// Addr returns the IPv4 address of the endpoint.
func (e Endpoint) Addr() netip.Addr {
	var a4 [4]byte
	binary.BigEndian.PutUint32(a4[:], e.IP)
	return netip.AddrFrom4(a4)
}

// Key identifies a flow by its two endpoints.
type Key struct {
	Client Endpoint // address and port of the client
	Route  Endpoint // address and port that the client sends to
}

// KeyLen is the length in bytes of an encoded Key.
const KeyLen = 12

// Append appends the encoded key to b.
func (k Key) Append(b []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, k.Client.IP)
	b = binary.BigEndian.AppendUint16(b, k.Client.Port)
	b = binary.BigEndian.AppendUint32(b, k.Route.IP)
	return binary.BigEndian.AppendUint16(b, k.Route.Port)
}

// DecodeKey decodes a key from the first KeyLen bytes of b.
func DecodeKey(b []byte) Key {
	return Key{
		Client: Endpoint{binary.BigEndian.Uint32(b), binary.BigEndian.Uint16(b[4:])},
		Route:  Endpoint{binary.BigEndian.Uint32(b[6:]), binary.BigEndian.Uint16(b[10:])},
	}
}

// Hash returns a hash of the key that is the same in every process.
func (k Key) Hash() uint64 {
	var b [KeyLen]byte
	return xxh3.Hash(k.Append(b[:0]))
}

// String returns the key as client>route, which identifies the flow in logs.
func (k Key) String() string {
	return fmt.Sprintf("%v>%v", k.Client.AddrPort(), k.Route.AddrPort())
}

// Header is the decoded header of a packet.
type Header struct {
	Flags    Flags
	Src, Dst Endpoint
	Seq, Ack uint32 // sequence and acknowledgement number
	DataLen  int    // bytes of data after the header
}

// KeyFromClient returns the flow key of a packet sent by a client.
func (h *Header) KeyFromClient() Key { return Key{Client: h.Src, Route: h.Dst} }

// KeyFromHost returns the flow key of a packet sent by a host.
func (h *Header) KeyFromHost() Key { return Key{Client: h.Dst, Route: h.Src} }

// Opens reports whether the packet is a client's request to open a flow, also when
// a host has returned it.
func (h *Header) Opens() bool { return h.Flags&^Bounced == SYN }

// Accepts reports whether the packet is a host's acceptance of a flow.
func (h *Header) Accepts() bool { return h.Flags == SYN|ACK }

// maxAckAdvance is the number of bytes that a client may have acknowledged in a flow
// when the first of its packets is seen.
const maxAckAdvance = 1 << 20

// AcksAcceptance reports whether a client's acknowledgement number fits the sequence
// number of a host's acceptance. Copies of an opening packet can reach several hosts,
// and each may accept the flow, but the client acknowledges only one of them.
func AcksAcceptance(ack, acceptSeq uint32) bool { return ack-acceptSeq <= maxAckAdvance }

// MaxLen is the maximum length in bytes of a packet, header included.
const MaxLen = 1236

// Codec encodes and decodes packets in the platform's wire format.
type Codec interface {
	// Parse decodes the header of a packet. It fails if the length is wrong.
	Parse(b []byte) (Header, error)
	// AppendReset appends to b a reset that the client accepts for the flow,
	// given the last acknowledgement number that the client sent.
	AppendReset(b []byte, k Key, clientAck uint32) []byte
	// Restore clears the fields that the system or a host has set in a packet,
	// which restores the packet as its sender wrote it.
	Restore(b []byte)
}
