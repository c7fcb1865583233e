package platformstand

import (
	"encoding/binary"
	"fmt"

	"github.com/zeebo/xxh3"

	"skylarkturn/internal/packet"
	"skylarkturn/platform"
)

// Kinds of errors.
const (
	KindInvalid = "invalid"
	KindProcess = "process"
	KindNetwork = "network"
)

// Error reports the operation of package platformstand that failed and why.
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
	checksumOffset = 32 // offset of the sum, the last 4 bytes of the head
	headerLen      = 36
	checksumSeed   = 0x5eed // of this stand-in's keyed sum
)

var packetFormat platform.Packets

// encodePacket returns a packet with its sum.
func encodePacket(h packet.Head, data []byte) []byte {
	h.DataLen = len(data)
	b := append(packetFormat.AppendHead(nil, h), data...)
	binary.BigEndian.PutUint32(b[checksumOffset:], checksum(b))
	return b
}

// decodePacket reads a packet and reports whether it is as its sender wrote it.
func decodePacket(b []byte) (h packet.Head, data []byte, ok bool) {
	h, err := packetFormat.Parse(b)
	if err != nil {
		return h, nil, false
	}
	return h, b[headerLen:], binary.BigEndian.Uint32(b[checksumOffset:]) == checksum(b)
}

// The sum covers all but the marks that the system may leave, and the sum.
func checksum(b []byte) uint32 {
	plain := append([]byte{}, b...)
	packetFormat.Restore(plain)
	clear(plain[checksumOffset:headerLen])
	return uint32(xxh3.HashSeed(plain, checksumSeed))
}
