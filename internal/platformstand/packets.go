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
	sumAt   = 32 // offset of the sum, the last 4 bytes of the head
	headLen = 36
	sumSeed = 0x5eed // of this stand-in's keyed sum
)

var format platform.PacketCodec

// seal returns a packet with its sum.
func seal(h packet.Header, data []byte) []byte {
	h.DataLen = len(data)
	b := append(format.AppendHeader(nil, h), data...)
	binary.BigEndian.PutUint32(b[sumAt:], sumOf(b))
	return b
}

// open reads a packet and reports whether it is as its sender wrote it.
func open(b []byte) (h packet.Header, data []byte, ok bool) {
	h, err := format.Parse(b)
	if err != nil {
		return h, nil, false
	}
	return h, b[headLen:], binary.BigEndian.Uint32(b[sumAt:]) == sumOf(b)
}

// The sum covers all but the marks that the system may leave, and the sum.
func sumOf(b []byte) uint32 {
	plain := append([]byte{}, b...)
	format.Restore(plain)
	clear(plain[sumAt:headLen])
	return uint32(xxh3.HashSeed(plain, sumSeed))
}
