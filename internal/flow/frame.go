package flow

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"

	"github.com/dchest/siphash"
)

// FrameLen is the length in bytes of the frame header that precedes a datagram.
const FrameLen = 28

// MaxDatagram is the size in bytes of the largest datagram that a frame can
// carry over a link with an MTU of 1,500 bytes. The subtracted 28 bytes are the
// IPv4 header (20) and the UDP header (8).
const MaxDatagram = 1500 - 28 - FrameLen

const (
	frameMagic          = 0xb0 // high 4 bits of the first byte; the low 4 bits hold the Direction
	authenticatedPrefix = 64   // bytes of the datagram covered by the tag; QUIC's AEAD protects the rest
	tagOffset           = 20   // of the 8-byte authentication tag, the last header field
	maxHops             = 15   // highest hop count that Seal writes
)

// Direction is the direction in which the datagram of a frame travels.
type Direction uint8

// Directions of frames.
const (
	Inward  Direction = iota + 1 // from a caller to its agent
	Outward                      // from an agent to a caller
	Orphan                       // from a caller whose agent is gone; answered with a stateless reset
)

// Frame is the header that balancers and agents prepend to a datagram.
type Frame struct {
	Direction  Direction
	Hops       uint8          // number of times that agents have forwarded the datagram
	Service    uint16         // number of the service that the datagram was addressed to
	Caller     netip.AddrPort // IPv4 source address of the datagram as the balancer received it
	Via        netip.AddrPort // IPv4 inner address of the balancer
	Generation uint32         // configuration generation of the service that the sender has applied
}

// Sealer authenticates frames with SipHash-2-4 under a key that all daemons share.
type Sealer struct{ k0, k1 uint64 }

// NewSealer derives the frame key from the root secret.
func NewSealer(secret []byte) (Sealer, error) {
	key, err := DeriveKey(secret, "frame key", 16)
	if err != nil {
		return Sealer{}, err
	}
	return Sealer{binary.LittleEndian.Uint64(key), binary.LittleEndian.Uint64(key[8:])}, nil
}

// IsFrame reports whether b starts with the magic number of a frame, which tells
// frames from control messages on the same socket.
func IsFrame(b []byte) bool {
	return len(b) > 0 && b[0]&0xf0 == frameMagic
}

// Seal writes the header of f to b[:FrameLen]. The datagram must already be in
// b[FrameLen:], since the tag covers its first bytes.
func (s Sealer) Seal(b []byte, f Frame) {
	b[0] = frameMagic | uint8(f.Direction)
	b[1] = min(f.Hops, maxHops)
	binary.BigEndian.PutUint16(b[2:], f.Service)
	putAddr(b[4:], f.Caller)
	putAddr(b[10:], f.Via)
	binary.BigEndian.PutUint32(b[16:], f.Generation)
	binary.LittleEndian.PutUint64(b[tagOffset:], s.tag(b))
}

// Open verifies the authentication tag of b and returns the header and the
// datagram, which aliases b.
func (s Sealer) Open(b []byte) (Frame, []byte, error) {
	if len(b) < FrameLen || !IsFrame(b) {
		return Frame{}, nil, &Error{"open frame", KindFrame, fmt.Errorf("datagram of %d bytes is not a frame", len(b))}
	}
	if binary.LittleEndian.Uint64(b[tagOffset:]) != s.tag(b) {
		return Frame{}, nil, &Error{"open frame", KindFrame, errTagMismatch}
	}
	f := Frame{
		Direction:  Direction(b[0] & 0x0f),
		Hops:       b[1],
		Service:    binary.BigEndian.Uint16(b[2:]),
		Caller:     addr(b[4:]),
		Via:        addr(b[10:]),
		Generation: binary.BigEndian.Uint32(b[16:]),
	}
	if f.Direction < Inward || f.Direction > Orphan {
		return Frame{}, nil, &Error{"open frame", KindFrame, fmt.Errorf("unknown direction %d", f.Direction)}
	}
	return f, b[FrameLen:], nil
}

var errTagMismatch = errors.New("authentication tag does not match")

// tag computes the SipHash of the header before the tag and the first
// authenticatedPrefix bytes of the datagram.
func (s Sealer) tag(b []byte) uint64 {
	var in [tagOffset + authenticatedPrefix]byte
	n := copy(in[:], b[:tagOffset])
	n += copy(in[n:], b[FrameLen:])
	return siphash.Hash(s.k0, s.k1, in[:n])
}

// putAddr writes an IPv4 address and its port to b[:6]. Any other address is written
// as 0.0.0.0.
func putAddr(b []byte, a netip.AddrPort) {
	if a.Addr().Is4() {
		a4 := a.Addr().As4()
		copy(b, a4[:])
	} else {
		clear(b[:4])
	}
	binary.BigEndian.PutUint16(b[4:], a.Port())
}

func addr(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:]))
}
