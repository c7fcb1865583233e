package flow

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/dchest/siphash"
)

// FrameLen is the number of bytes that a frame adds before a datagram.
const FrameLen = 28

// MaxDatagram is the largest datagram in bytes that a frame can carry over a
// 1,500-byte link: 20 bytes of IPv4 and 8 of UDP header go off, too.
const MaxDatagram = 1500 - 28 - FrameLen

const (
	frameMagic   = 0xb0 // high bits of the first byte; low bits hold Direction
	sealedPrefix = 64   // bytes of the datagram under the seal; QUIC's AEAD protects the rest
	sealOffset   = 20
	maxHops      = 15
)

// Direction tells which way the datagram of a frame travels.
type Direction uint8

// Directions of frames.
const (
	Inward  Direction = iota + 1 // from a caller to an agent
	Outward                      // from an agent to a caller
	Orphan                       // from a caller, its agent is gone: answer with a stateless reset
)

// Frame is the header that balancers and agents put before a datagram.
type Frame struct {
	Direction  Direction
	Hops       uint8          // times that agents handed the datagram on
	Service    uint16         // service whose address the datagram came to
	Caller     netip.AddrPort // IPv4 source of the datagram at the balancer
	Via        netip.AddrPort // IPv4 inner address of the balancer
	Generation uint32         // configuration generation that the sender has for the service
}

// Sealer authenticates frames with a key that all daemons share.
type Sealer struct{ k0, k1 uint64 }

// NewSealer derives the frame key from the root secret.
func NewSealer(secret []byte) (Sealer, error) {
	key, err := DeriveKey(secret, "frame key", 16)
	if err != nil {
		return Sealer{}, err
	}
	return Sealer{binary.LittleEndian.Uint64(key), binary.LittleEndian.Uint64(key[8:])}, nil
}

// IsFrame reports whether b begins like a frame rather than a control message.
func IsFrame(b []byte) bool {
	return len(b) > 0 && b[0]&0xf0 == frameMagic
}

// Put writes the header of f to b[:FrameLen]; the datagram follows it in b.
func (s Sealer) Put(b []byte, f Frame) {
	b[0] = frameMagic | uint8(f.Direction)
	b[1] = min(f.Hops, maxHops)
	binary.BigEndian.PutUint16(b[2:], f.Service)
	putAddr(b[4:], f.Caller)
	putAddr(b[10:], f.Via)
	binary.BigEndian.PutUint32(b[16:], f.Generation)
	binary.LittleEndian.PutUint64(b[sealOffset:], s.sum(b))
}

// Open checks the seal of b and returns its header and the datagram, which
// aliases b.
func (s Sealer) Open(b []byte) (Frame, []byte, error) {
	if len(b) < FrameLen || !IsFrame(b) {
		return Frame{}, nil, &Error{"open frame", KindFrame, fmt.Errorf("%d bytes are no frame", len(b))}
	}
	if binary.LittleEndian.Uint64(b[sealOffset:]) != s.sum(b) {
		return Frame{}, nil, &Error{"open frame", KindFrame, errSeal}
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

var errSeal = fmt.Errorf("seal does not match")

// Sums the header before the seal and the first bytes of the datagram.
func (s Sealer) sum(b []byte) uint64 {
	var in [sealOffset + sealedPrefix]byte
	n := copy(in[:], b[:sealOffset])
	n += copy(in[n:], b[FrameLen:])
	return siphash.Hash(s.k0, s.k1, in[:n])
}

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
