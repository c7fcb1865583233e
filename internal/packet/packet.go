package packet

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/zeebo/xxh3"

	"skylarkturn/internal/flow"
)

// Flags are the flags of a packet.
type Flags uint8

// Flags of packets.
const (
	SYN     Flags = 1 << iota // opens a flow
	ACK                       // acknowledges data
	FIN                       // its sender sends nothing further
	RST                       // ends the flow at once
	Bounced                   // returned by a host that does not hold the flow
)

// Has reports whether all of the given flags are set.
func (f Flags) Has(g Flags) bool { return f&g == g }

// Endpoint is an IPv4 address and port in a form that hashes cheaply.
type Endpoint struct {
	IP   uint32
	Port uint16
}

// EndpointOf returns the endpoint of an IPv4 address and port.
func EndpointOf(a netip.AddrPort) Endpoint {
	a4 := a.Addr().As4()
	return Endpoint{binary.BigEndian.Uint32(a4[:]), a.Port()}
}

// Hash returns a hash of the endpoint that is the same on every daemon.
func (e Endpoint) Hash() uint64 { return flow.Mix(uint64(e.IP)<<16 | uint64(e.Port)) }

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

// Key names a flow by its two ends.
type Key struct {
	Client Endpoint
	Route  Endpoint // the address and port that the client sends to
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

// Hash returns a hash of the key that is the same on every daemon.
func (k Key) Hash() uint64 {
	var b [KeyLen]byte
	return xxh3.Hash(k.Append(b[:0]))
}

// String returns the key as client>route, the flow's id in logs.
func (k Key) String() string {
	return fmt.Sprintf("%v>%v", k.Client.AddrPort(), k.Route.AddrPort())
}

// Head is what the daemons read of a packet.
type Head struct {
	Flags    Flags
	Src, Dst Endpoint
	Seq, Ack uint32
	DataLen  int // bytes of data after the head
}

// FromClient returns the key of the flow of a packet that a client sent.
func (h *Head) FromClient() Key { return Key{Client: h.Src, Route: h.Dst} }

// FromHost returns the key of the flow of a packet that a host sent.
func (h *Head) FromHost() Key { return Key{Client: h.Dst, Route: h.Src} }

// Opens reports whether the packet is a client's request to open a flow.
func (h *Head) Opens() bool { return h.Flags&^Bounced == SYN }

// Accepts reports whether the packet is a host's answer that accepts a flow.
func (h *Head) Accepts() bool { return h.Flags == SYN|ACK }

// MaxLen is the size in bytes of the largest packet, head included.
const MaxLen = 1236

// Format reads and writes packets as they are on the wire.
type Format interface {
	// Parse reads the head of a packet; it fails on a wrong length.
	Parse(b []byte) (Head, error)
	// AppendReset appends a reset of the flow that the client will accept,
	// given the last acknowledgement number the client sent.
	AppendReset(b []byte, k Key, clientAck uint32) []byte
	// Restore clears the marks that the system or a host left on a packet, so
	// that it is again as its sender wrote it.
	Restore(b []byte)
}
