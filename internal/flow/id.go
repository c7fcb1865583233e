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

// IDLen is the length in bytes of a connection ID issued by an agent: one byte
// with the key number and nonce bits, then one AES block.
const IDLen = 1 + aes.BlockSize

// MaxKeyNumber is the highest key number; key numbers have 3 bits.
const MaxKeyNumber = 7

const (
	nonceBits    = 5 // low bits of the first byte, copied from the nonce; the high bits hold the key number
	minSecretLen = 16
)

// ID is the decrypted content of a connection ID.
type ID struct {
	Agent           netip.AddrPort // IPv4 address and UDP port of the agent that owns the flow
	Service         uint16         // number of the service that the flow belongs to
	IncarnationHash uint32         // see HashIncarnation
	Nonce           uint32         // distinguishes the IDs that one agent issues
}

// HashIncarnation returns the 32-bit hash of an incarnation that connection IDs
// carry. It fences off datagrams that belong to an earlier incarnation.
func HashIncarnation(incarnation uint64) uint32 {
	return uint32(Mix(incarnation) >> 32)
}

// Keyring holds the AES keys of connection IDs, indexed by key number.
type Keyring struct {
	ciphers [MaxKeyNumber + 1]cipher.Block
	active  uint8
}

// NewKeyring derives a key from each secret, indexed by key number from 0 to
// MaxKeyNumber. New IDs are encrypted with the active key.
func NewKeyring(active uint8, secrets map[uint8][]byte) (*Keyring, error) {
	k := &Keyring{active: active}
	for n, secret := range secrets {
		if n > MaxKeyNumber {
			return nil, &Error{"new keyring", KindKey, fmt.Errorf("key number %d is above %d", n, MaxKeyNumber)}
		}
		if len(secret) < minSecretLen {
			return nil, &Error{"new keyring", KindKey, fmt.Errorf("secret %d has %d bytes, want at least %d", n, len(secret), minSecretLen)}
		}
		block, err := deriveCipher(secret, n)
		if err != nil {
			return nil, &Error{"new keyring", KindKey, err}
		}
		k.ciphers[n] = block
	}
	if active > MaxKeyNumber || k.ciphers[active] == nil {
		return nil, &Error{"new keyring", KindKey, fmt.Errorf("no secret for the active key number %d", active)}
	}
	return k, nil
}

func deriveCipher(secret []byte, n uint8) (cipher.Block, error) {
	key, err := hkdf.Key(sha256.New, secret, nil, fmt.Sprintf("skylarkturn flow id key %d", n), 16)
	if err != nil {
		return nil, err
	}
	return aes.NewCipher(key)
}

// DeriveKey derives an n-byte key from the root secret with HKDF-SHA256. The
// purpose separates the keys of different uses.
func DeriveKey(secret []byte, purpose string, n int) ([]byte, error) {
	key, err := hkdf.Key(sha256.New, secret, nil, "skylarkturn "+purpose, n)
	if err != nil {
		return nil, &Error{"derive key", KindKey, err}
	}
	return key, nil
}

// Encode encrypts id with the active key into dst[:IDLen].
func (k *Keyring) Encode(dst []byte, id ID) error {
	if len(dst) < IDLen {
		return &Error{"encode id", KindID, fmt.Errorf("buffer of %d bytes, want %d", len(dst), IDLen)}
	}
	if !id.Agent.Addr().Is4() {
		return &Error{"encode id", KindID, fmt.Errorf("agent address %v is not IPv4", id.Agent)}
	}
	dst[0] = k.active<<nonceBits | uint8(id.Nonce)&(1<<nonceBits-1)
	plain := dst[1:IDLen]
	a4 := id.Agent.Addr().As4()
	copy(plain, a4[:])
	binary.BigEndian.PutUint16(plain[4:], id.Agent.Port())
	binary.BigEndian.PutUint16(plain[6:], id.Service)
	binary.BigEndian.PutUint32(plain[8:], id.IncarnationHash)
	binary.BigEndian.PutUint32(plain[12:], id.Nonce)
	k.ciphers[k.active].Encrypt(plain, plain)
	return nil
}

// Decode decrypts a connection ID. It reports whether the length and the key
// number are valid and the nonce bits of the first byte match the decrypted nonce.
// The caller provides scratch, the buffer for decryption, to avoid an allocation.
func (k *Keyring) Decode(b []byte, scratch *[aes.BlockSize]byte) (ID, bool) {
	if len(b) != IDLen {
		return ID{}, false
	}
	block := k.ciphers[b[0]>>nonceBits]
	if block == nil {
		return ID{}, false
	}
	block.Decrypt(scratch[:], b[1:])
	id := ID{
		Agent: netip.AddrPortFrom(
			netip.AddrFrom4([4]byte(scratch[0:4])),
			binary.BigEndian.Uint16(scratch[4:])),
		Service:         binary.BigEndian.Uint16(scratch[6:]),
		IncarnationHash: binary.BigEndian.Uint32(scratch[8:]),
		Nonce:           binary.BigEndian.Uint32(scratch[12:]),
	}
	if uint8(id.Nonce)&(1<<nonceBits-1) != b[0]&(1<<nonceBits-1) {
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

var errTooShort = errors.New("datagram too short")

const longHeaderBit = 0x80 // of the first byte

// ParseHeader parses the invariant header of the first packet of a datagram. A
// short header doesn't encode the length of its connection ID, which is assumed
// to be IDLen.
func ParseHeader(b []byte) (Header, error) {
	if len(b) < 1+IDLen {
		return Header{}, errTooShort
	}
	if b[0]&longHeaderBit == 0 {
		return Header{DCID: b[1 : 1+IDLen]}, nil
	}
	n := int(b[5])
	if len(b) < 6+n {
		return Header{}, errTooShort
	}
	return Header{Long: true, Version: binary.BigEndian.Uint32(b[1:]), DCID: b[6 : 6+n]}, nil
}
