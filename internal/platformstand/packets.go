package platformstand

import (
	"encoding/binary"
	"fmt"

	"github.com/zeebo/xxh3"

	"skylarkturn/internal/packet"
	"skylarkturn/platform"
)

// Values of Error.Kind.
const (
	KindInvalid = "invalid"
	KindProcess = "process"
	KindNetwork = "network"
)

// Error is an error of package platformstand.
type Error struct {
	Op   string
	Kind string
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("platformstand: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

const (
	checksumOffset = 32 // the checksum is the last 4 bytes of the header
	headerLen      = 36
	checksumSeed   = 0x5eed // of the simulated platform's keyed checksum
)

var packetFormat platform.PacketCodec

// encodePacket returns the encoded packet with its checksum.
func encodePacket(h packet.Header, data []byte) []byte {
	h.DataLen = len(data)
	b := append(packetFormat.AppendHeader(nil, h), data...)
	binary.BigEndian.PutUint32(b[checksumOffset:], checksum(b))
	return b
}

// decodePacket parses a packet; ok is false when its length or checksum is wrong.
func decodePacket(b []byte) (h packet.Header, data []byte, ok bool) {
	h, err := packetFormat.Parse(b)
	if err != nil {
		return h, nil, false
	}
	return h, b[headerLen:], binary.BigEndian.Uint32(b[checksumOffset:]) == checksum(b)
}

// checksum returns the checksum of a packet. It leaves out the marks that daemons
// and hosts may set on the way, and the checksum field.
func checksum(b []byte) uint32 {
	unmarked := append([]byte{}, b...)
	packetFormat.Restore(unmarked)
	clear(unmarked[checksumOffset:headerLen])
	return uint32(xxh3.HashSeed(unmarked, checksumSeed))
}
