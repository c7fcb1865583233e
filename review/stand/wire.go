package main

import (
	"encoding/binary"
	"net/netip"

	"github.com/zeebo/xxh3"

	"skylarkturn/internal/packet"
	"skylarkturn/platform"
)

// The stand-ins encode packets with the codec of the adapter, whose offsets and bits
// are those of PROTOCOL.md, and compute a keyed sum of their own, as the platform's
// is not disclosed.
const (
	sumOffset = 32
	headerLen = 36
	sumSeed   = 0x0ddba11
)

var codec platform.PacketCodec

// encode returns the encoded packet with its sum.
func encode(h packet.Header, data []byte) []byte {
	h.DataLen = len(data)
	b := append(codec.AppendHeader(nil, h), data...)
	binary.BigEndian.PutUint32(b[sumOffset:], sumOf(b))
	return b
}

// decode parses a packet; intact is false if the sum does not match.
func decode(b []byte) (h packet.Header, data []byte, intact bool, err error) {
	h, err = codec.Parse(b)
	if err != nil {
		return h, nil, false, err
	}
	return h, b[headerLen:], binary.BigEndian.Uint32(b[sumOffset:]) == sumOf(b), nil
}

// sumOf returns the sum over all fields except echo, pad and BOUNCED.
func sumOf(b []byte) uint32 {
	c := append([]byte{}, b...)
	codec.Restore(c)
	clear(c[sumOffset:headerLen])
	return uint32(xxh3.HashSeed(c, sumSeed))
}

// endpoint returns an address and port as packets have them.
func endpoint(a netip.Addr, port uint16) packet.Endpoint {
	return packet.EndpointOf(netip.AddrPortFrom(a, port))
}
