package main

import (
	"encoding/binary"
	"fmt"

	"github.com/zeebo/xxh3"

	"skylarkturn/internal/packet"
	"skylarkturn/platform"
)

const (
	headerLen = 36
	offSum    = 32
	offLen    = 26
)

var codec platform.PacketCodec

// encode returns a packet of a client or a host, with the checksum of its sender.
func encode(h packet.Header, data []byte) []byte {
	h.DataLen = len(data)
	b := append(codec.AppendHeader(nil, h), data...)
	binary.BigEndian.PutUint32(b[offSum:], checksum(b))
	return b
}

// checksum covers all fields but pad, echo and the flag BOUNCED. It is never 0, which
// marks a reset of the system.
func checksum(b []byte) uint32 {
	covered := append([]byte{b[0] &^ 1}, b[6:28]...)
	covered = append(covered, b[headerLen:]...)
	return uint32(xxh3.HashSeed(covered, 0x5107)) | 1
}

// decode returns the header and the data of a packet and whether it is as a client or a
// host has written it.
func decode(b []byte) (h packet.Header, data []byte, intact bool, err error) {
	if h, err = codec.Parse(b); err != nil {
		return h, nil, false, err
	}
	if len(b) != headerLen+int(binary.BigEndian.Uint16(b[offLen:])) {
		return h, nil, false, fmt.Errorf("length of %d bytes", len(b))
	}
	return h, b[headerLen:], binary.BigEndian.Uint32(b[offSum:]) == checksum(b), nil
}
