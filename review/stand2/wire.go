package main

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Flags of a packet on the platform's wire.
const (
	flagBounced = 1
	flagSYN     = 8
	flagRST     = 32
	flagACK     = 64
	flagFIN     = 128
)

const headerLen = 36

// endpoint is an IPv4 address and a port.
type endpoint struct {
	ip   [4]byte
	port uint16
}

func (e endpoint) String() string {
	return netip.AddrPortFrom(netip.AddrFrom4(e.ip), e.port).String()
}

// header is the header of a packet.
type header struct {
	flags    byte
	src, dst endpoint
	seq, ack uint32
}

// flowKey names a flow by its client's end and its route.
type flowKey struct{ client, route endpoint }

// encode returns a packet with its keyed sum.
func encode(h header, data []byte) []byte {
	b := make([]byte, headerLen, headerLen+len(data))
	b[0] = h.flags
	binary.BigEndian.PutUint32(b[6:], h.seq)
	binary.BigEndian.PutUint32(b[10:], h.ack)
	binary.BigEndian.PutUint16(b[14:], h.dst.port)
	copy(b[16:], h.src.ip[:])
	binary.BigEndian.PutUint16(b[20:], h.src.port)
	copy(b[22:], h.dst.ip[:])
	binary.BigEndian.PutUint16(b[26:], uint16(len(data)))
	b = append(b, data...)
	binary.BigEndian.PutUint32(b[32:], sum(b))
	return b
}

// decode parses a packet. valid is false if the sum or the length is wrong.
func decode(b []byte) (h header, data []byte, valid bool) {
	if len(b) < headerLen {
		return h, nil, false
	}
	h.flags = b[0]
	h.seq = binary.BigEndian.Uint32(b[6:])
	h.ack = binary.BigEndian.Uint32(b[10:])
	h.dst.port = binary.BigEndian.Uint16(b[14:])
	copy(h.src.ip[:], b[16:])
	h.src.port = binary.BigEndian.Uint16(b[20:])
	copy(h.dst.ip[:], b[22:])
	n := int(binary.BigEndian.Uint16(b[26:]))
	return h, b[headerLen:], n == len(b)-headerLen && binary.BigEndian.Uint32(b[32:]) == sum(b)
}

const sumKey = "a key of the stand-in"

// sum is the keyed sum over all fields but BOUNCED, pad and echo, and over the data.
func sum(b []byte) uint32 {
	c := bytes.Clone(b)
	c[0] &^= flagBounced
	clear(c[1:6])
	clear(c[28:36])
	s := crc32.ChecksumIEEE(append([]byte(sumKey), c...))
	return max(s, 1) // 0 marks a reset of the system's own
}
