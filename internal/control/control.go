package control

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"skylarkturn/internal/flow"
	"skylarkturn/internal/roster"
)

// MaxMessage is the size in bytes that messages are kept under.
const MaxMessage = 1200

const (
	magic  = 0xc1
	tagLen = 16
)

// Kind tells what a message is for.
type Kind uint8

// Kinds of messages.
const (
	Heartbeat Kind = iota + 1 // from an agent to an observer
	Ack                       // answer to a heartbeat
	Gossip                    // between balancers, changes of members and generations
	Repair                    // between balancers, bucket hashes that ask for records
)

// Generation names the newest confirmed configuration of a service that the
// sender has.
type Generation struct {
	Service uint16 `cbor:"1,keyasint"`
	Number  uint32 `cbor:"2,keyasint"`
}

// Message is one control message.
type Message struct {
	Kind        Kind             `cbor:"1,keyasint"`
	From        roster.Member    `cbor:"2,keyasint"`
	Members     []roster.Member  `cbor:"3,keyasint,omitempty"`
	Generations []Generation     `cbor:"4,keyasint,omitempty"`
	Digest      uint64           `cbor:"5,keyasint,omitempty"` // hash over the sender's members; in heartbeats, over the agent's observers
	Buckets     []uint64         `cbor:"6,keyasint,omitempty"`
	Config      uint64           `cbor:"7,keyasint,omitempty"` // hash over the sender's generations
	Bucket      int              `cbor:"14,keyasint,omitempty"`
	Hashes      []uint64         `cbor:"15,keyasint,omitempty"` // of the sender's records in Bucket
	Count       int              `cbor:"16,keyasint,omitempty"` // number of the sender's members
	Reply       bool             `cbor:"8,keyasint,omitempty"`  // asks for no answer of its own
	Unknown     bool             `cbor:"9,keyasint,omitempty"`  // the sender wants an answer: the receiver's record or, from an agent, an Ack
	Loads       []Load           `cbor:"10,keyasint,omitempty"`
	Observers   []netip.AddrPort `cbor:"11,keyasint,omitempty"` // balancers that the agent is to send heartbeats to
	CheckedAgo  uint32           `cbor:"13,keyasint,omitempty"` // milliseconds since the sender's configuration was known to be the platform's; 0 is unknown
	Check       uint64           `cbor:"20,keyasint,omitempty"` // number of the check that CheckedAgo tells the age of
	Checker     bool             `cbor:"21,keyasint,omitempty"` // the sender has made that check
	Version     uint64           `cbor:"17,keyasint,omitempty"` // configuration version in force at the sender
	Settled     bool             `cbor:"19,keyasint,omitempty"` // the sender knows all members
	Known       uint64           `cbor:"18,keyasint,omitempty"` // incarnation that the sender has for the receiver
	Believed    roster.State     `cbor:"12,keyasint,omitempty"` // state that the sender has for the receiver
}

// Load is the number of open sessions of an agent.
type Load struct {
	Addr     netip.AddrPort `cbor:"1,keyasint"`
	Sessions uint32         `cbor:"2,keyasint"`
}

// Kinds of errors.
const (
	KindSeal   = "seal"
	KindFormat = "format"
)

// Error reports the operation of package control that failed and why.
type Error struct {
	Op   string
	Kind string
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("control: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Codec seals and opens messages.
type Codec struct{ key []byte }

// NewCodec derives the message key from the root secret.
func NewCodec(secret []byte) (*Codec, error) {
	key, err := flow.DeriveKey(secret, "control key", sha256.Size)
	if err != nil {
		return nil, &Error{"new codec", KindSeal, err}
	}
	return &Codec{key: key}, nil
}

// Is reports whether b begins like a control message.
func Is(b []byte) bool { return len(b) > 0 && b[0] == magic }

// Seal returns the encoded and authenticated message.
func (c *Codec) Seal(m *Message) ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, &Error{"seal", KindFormat, err}
	}
	b := make([]byte, 0, 1+tagLen+len(body))
	b = append(b, magic)
	b = append(b, c.tag(body)...)
	return append(b, body...), nil
}

// Open checks and decodes a message.
func (c *Codec) Open(b []byte) (*Message, error) {
	if len(b) < 1+tagLen || !Is(b) {
		return nil, &Error{"open", KindFormat, fmt.Errorf("%d bytes are no message", len(b))}
	}
	body := b[1+tagLen:]
	if !hmac.Equal(c.tag(body), b[1:1+tagLen]) {
		return nil, &Error{"open", KindSeal, errors.New("tag does not match")}
	}
	m := new(Message)
	if err := cbor.Unmarshal(body, m); err != nil {
		return nil, &Error{"open", KindFormat, err}
	}
	return m, m.check()
}

// Refuses addresses that the packages behind it can't take.
func (m *Message) check() error {
	for _, r := range append([]roster.Member{m.From}, m.Members...) {
		if !r.Addr.Addr().Is4() {
			return &Error{"open", KindFormat, fmt.Errorf("member %q has address %v, want IPv4", r.Name, r.Addr)}
		}
	}
	return nil
}

func (c *Codec) tag(body []byte) []byte {
	h := hmac.New(sha256.New, c.key)
	h.Write(body)
	return h.Sum(nil)[:tagLen]
}
