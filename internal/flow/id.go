package flow

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
)

// IDLen is the length in bytes of a connection ID issued by an agent: one
// byte with the key number and one AES block.
const IDLen = 1 + aes.BlockSize

// MaxKeyNumber is the highest key number.
const MaxKeyNumber = 7

const (
	keyNumberBits = 5 // low bits of the first byte left to the nonce
	minSecretLen  = 16
)

// ID is the plain content of a connection ID.
type ID struct {
	Agent   netip.AddrPort // IPv4 address and UDP port of the owning agent
	Service uint16         // number of the service that the flow belongs to
	Fence   uint32         // hash of the agent's incarnation, see FenceOf
	Nonce   uint32         // makes the IDs of one agent distinct
}

// FenceOf returns the part of an incarnation that a connection ID carries.
func FenceOf(incarnation uint64) uint32 {
	return uint32(Mix(incarnation) >> 32)
}

// Keyring holds the AES keys for connection IDs, by key number.
type Keyring struct {
	blocks [MaxKeyNumber + 1]cipher.Block
	active uint8
}

// NewKeyring derives the keys from secrets by key number (0 to MaxKeyNumber) and
// makes active the number used for new IDs.
func NewKeyring(active uint8, secrets map[uint8][]byte) (*Keyring, error) {
	k := &Keyring{active: active}
	for n, secret := range secrets {
		if n > MaxKeyNumber {
			return nil, &Error{"new keyring", KindKey, fmt.Errorf("key number %d is above %d", n, MaxKeyNumber)}
		}
		if len(secret) < minSecretLen {
			return nil, &Error{"new keyring", KindKey, fmt.Errorf("secret %d has %d bytes, want at least %d", n, len(secret), minSecretLen)}
		}
		block, err := deriveBlock(secret, n)
		if err != nil {
			return nil, &Error{"new keyring", KindKey, err}
		}
		k.blocks[n] = block
	}
	if active > MaxKeyNumber || k.blocks[active] == nil {
		return nil, &Error{"new keyring", KindKey, fmt.Errorf("no secret for the active key number %d", active)}
	}
	return k, nil
}

func deriveBlock(secret []byte, n uint8) (cipher.Block, error) {
	key, err := hkdf.Key(sha256.New, secret, nil, fmt.Sprintf("skylarkturn flow id key %d", n), 16)
	if err != nil {
		return nil, err
	}
	return aes.NewCipher(key)
}

// DeriveKey returns n bytes derived from the root secret for a named purpose.
func DeriveKey(secret []byte, purpose string, n int) ([]byte, error) {
	key, err := hkdf.Key(sha256.New, secret, nil, "skylarkturn "+purpose, n)
	if err != nil {
		return nil, &Error{"derive key", KindKey, err}
	}
	return key, nil
}

// Encode writes the encrypted form of id, IDLen bytes, to dst.
func (k *Keyring) Encode(dst []byte, id ID) error {
	if len(dst) < IDLen {
		return &Error{"encode id", KindID, fmt.Errorf("buffer of %d bytes, want %d", len(dst), IDLen)}
	}
	if !id.Agent.Addr().Is4() {
		return &Error{"encode id", KindID, fmt.Errorf("agent address %v is not IPv4", id.Agent)}
	}
	dst[0] = k.active<<keyNumberBits | uint8(id.Nonce)&(1<<keyNumberBits-1)
	plain := dst[1:IDLen]
	a4 := id.Agent.Addr().As4()
	copy(plain, a4[:])
	binary.BigEndian.PutUint16(plain[4:], id.Agent.Port())
	binary.BigEndian.PutUint16(plain[6:], id.Service)
	binary.BigEndian.PutUint32(plain[8:], id.Fence)
	binary.BigEndian.PutUint32(plain[12:], id.Nonce)
	k.blocks[k.active].Encrypt(plain, plain)
	return nil
}

// Decode decrypts a connection ID and reports whether it has the length, key
// number and spare bits of one that an agent issued.
func (k *Keyring) Decode(b []byte, scratch *[aes.BlockSize]byte) (ID, bool) {
	if len(b) != IDLen {
		return ID{}, false
	}
	block := k.blocks[b[0]>>keyNumberBits]
	if block == nil {
		return ID{}, false
	}
	block.Decrypt(scratch[:], b[1:])
	id := ID{
		Agent: netip.AddrPortFrom(
			netip.AddrFrom4([4]byte(scratch[0:4])),
			binary.BigEndian.Uint16(scratch[4:])),
		Service: binary.BigEndian.Uint16(scratch[6:]),
		Fence:   binary.BigEndian.Uint32(scratch[8:]),
		Nonce:   binary.BigEndian.Uint32(scratch[12:]),
	}
	if uint8(id.Nonce)&(1<<keyNumberBits-1) != b[0]&(1<<keyNumberBits-1) {
		return ID{}, false
	}
	return id, true
}

// Header is the version-independent part of a QUIC packet (RFC 8999).
type Header struct {
	Long    bool
	Version uint32
	DCID    []byte // aliases the datagram
}

var errShort = errors.New("datagram too short")

const (
	longBit = 0x80
)

// ParseHeader reads the invariant header of the first packet of a datagram.
// Short headers are taken to carry a connection ID of IDLen bytes.
func ParseHeader(b []byte) (Header, error) {
	if len(b) < 1+IDLen {
		return Header{}, errShort
	}
	if b[0]&longBit == 0 {
		return Header{DCID: b[1 : 1+IDLen]}, nil
	}
	n := int(b[5])
	if len(b) < 6+n {
		return Header{}, errShort
	}
	return Header{Long: true, Version: binary.BigEndian.Uint32(b[1:]), DCID: b[6 : 6+n]}, nil
}
