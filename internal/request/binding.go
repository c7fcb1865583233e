package request

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"net/netip"
	"time"
)

// Binding identifies the only incarnation of an agent that may run a request.
type Binding struct {
	Agent       netip.AddrPort // IPv4 inner address
	Service     uint16         // number of the service
	Incarnation uint64
	Issued      time.Duration // on the agent's clock, since its start
}

const (
	bindingLen    = 6 + 2 + 8 + 8
	bindingTagLen = 16
)

var bindingEncoding = base64.RawURLEncoding

// Encode returns the binding as callers carry it: base64url of its fields and an
// HMAC-SHA256 tag under key.
func (b Binding) Encode(key []byte) string {
	var plain [bindingLen + bindingTagLen]byte
	a4 := b.Agent.Addr().As4()
	copy(plain[:], a4[:])
	binary.BigEndian.PutUint16(plain[4:], b.Agent.Port())
	binary.BigEndian.PutUint16(plain[6:], b.Service)
	binary.BigEndian.PutUint64(plain[8:], b.Incarnation)
	binary.BigEndian.PutUint64(plain[16:], uint64(b.Issued))
	copy(plain[bindingLen:], bindingTag(key, plain[:bindingLen]))
	return bindingEncoding.EncodeToString(plain[:])
}

// ParseBinding parses the text of a binding and verifies its authentication tag.
func ParseBinding(text string, key []byte) (Binding, error) {
	plain, err := bindingEncoding.DecodeString(text)
	if err != nil || len(plain) != bindingLen+bindingTagLen {
		return Binding{}, &Error{"parse binding", KindBinding, errors.New("malformed")}
	}
	if !hmac.Equal(plain[bindingLen:], bindingTag(key, plain[:bindingLen])) {
		return Binding{}, &Error{"parse binding", KindBinding, errors.New("authentication tag does not match")}
	}
	return Binding{
		Agent:       netip.AddrPortFrom(netip.AddrFrom4([4]byte(plain[:4])), binary.BigEndian.Uint16(plain[4:])),
		Service:     binary.BigEndian.Uint16(plain[6:]),
		Incarnation: binary.BigEndian.Uint64(plain[8:]),
		Issued:      time.Duration(binary.BigEndian.Uint64(plain[16:])),
	}, nil
}

func bindingTag(key, plain []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(plain)
	return h.Sum(nil)[:bindingTagLen]
}
