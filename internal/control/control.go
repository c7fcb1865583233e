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

// MaxMessageSize is the size limit of a message in bytes, which senders keep to.
const MaxMessageSize = 1200

const (
	magic  = 0xc1 // first byte of every message, distinct from that of a frame
	tagLen = 16   // bytes of the truncated HMAC-SHA256
)

// Kind is the kind of a message.
type Kind uint8

// Kinds of messages.
const (
	Heartbeat Kind = iota + 1 // from an agent to an observer
	Ack                       // reply of an observer to a heartbeat
	Gossip                    // between balancers: changes of members and generations
	Repair                    // between balancers, for anti-entropy: hashes of buckets or records; the receiver replies with what differs
)

// Generation is the newest confirmed configuration generation of a service that
// the sender has.
type Generation struct {
	Service uint16 `cbor:"1,keyasint"`
	Number  uint32 `cbor:"2,keyasint"`
}

// Message is a control message. The fields that are set depend on its kind. In the
// heartbeats of package agent, Digest covers the members of the agent's service; in
// those of package membership, it covers the agent's observers.
type Message struct {
	Kind             Kind             `cbor:"1,keyasint"`
	From             roster.Member    `cbor:"2,keyasint"`
	Members          []roster.Member  `cbor:"3,keyasint,omitempty"`
	Generations      []Generation     `cbor:"4,keyasint,omitempty"`
	Digest           uint64           `cbor:"5,keyasint,omitempty"`  // hash of the sender's members; in heartbeats, see Message
	BucketHashes     []uint64         `cbor:"6,keyasint,omitempty"`  // hash of each bucket of the sender's members
	ConfigDigest     uint64           `cbor:"7,keyasint,omitempty"`  // hash of the sender's configuration generations
	Bucket           int              `cbor:"14,keyasint,omitempty"` // index of the bucket that RecordHashes covers
	RecordHashes     []uint64         `cbor:"15,keyasint,omitempty"` // of the sender's member records in Bucket
	MemberCount      int              `cbor:"16,keyasint,omitempty"` // number of the sender's members
	NoReply          bool             `cbor:"8,keyasint,omitempty"`  // the receiver does not reply to this message
	WantReply        bool             `cbor:"9,keyasint,omitempty"`  // requests a reply: the receiver's record or, from an agent, an Ack
	Loads            []Load           `cbor:"10,keyasint,omitempty"` // of the other live agents of the service
	Observers        []netip.AddrPort `cbor:"11,keyasint,omitempty"` // balancers to which the agent sends its heartbeats
	CheckAgeMillis   uint32           `cbor:"13,keyasint,omitempty"` // milliseconds since the sender's configuration was last known to match the platform's; 0 if unknown
	CheckNumber      uint64           `cbor:"20,keyasint,omitempty"` // number of the check whose age is CheckAgeMillis
	MadeCheck        bool             `cbor:"21,keyasint,omitempty"` // whether the sender made that check itself
	StoreEpoch       uint64           `cbor:"22,keyasint,omitempty"` // newest epoch of the platform's store that the sender knows
	ConfigVersion    uint64           `cbor:"17,keyasint,omitempty"` // configuration version that the sender has applied
	Settled          bool             `cbor:"19,keyasint,omitempty"` // whether the sender knows all members
	LacksMembers     bool             `cbor:"23,keyasint,omitempty"` // whether agents know members that the sender does not
	KnownIncarnation uint64           `cbor:"18,keyasint,omitempty"` // incarnation of the receiver, as the sender knows it
	KnownState       roster.State     `cbor:"12,keyasint,omitempty"` // state of the receiver, as the sender knows it
}

// Load is the number of open sessions of an agent.
type Load struct {
	Addr     netip.AddrPort `cbor:"1,keyasint"`
	Sessions uint32         `cbor:"2,keyasint"`
}

// Kinds of errors.
const (
	KindSeal   = "seal"   // deriving the key or verifying the authentication tag failed
	KindFormat = "format" // encoding or decoding the message failed
)

// Error reports the operation of package control that failed and why.
type Error struct {
	Op   string
	Kind string
	Err  error
}

// Error formats the operation, the kind and the underlying error.
func (e *Error) Error() string { return fmt.Sprintf("control: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Codec encodes and authenticates messages. It is safe for concurrent use.
type Codec struct{ key []byte }

// NewCodec derives the message key from the root secret.
func NewCodec(secret []byte) (*Codec, error) {
	key, err := flow.DeriveKey(secret, "control key", sha256.Size)
	if err != nil {
		return nil, &Error{"new codec", KindSeal, err}
	}
	return &Codec{key: key}, nil
}

// IsMessage reports whether b starts with the magic number of a control message, which
// tells messages from frames on the same socket.
func IsMessage(b []byte) bool { return len(b) > 0 && b[0] == magic }

// Seal encodes m and prepends the magic number and the authentication tag.
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

// Open verifies the authentication tag of b and decodes the message.
func (c *Codec) Open(b []byte) (*Message, error) {
	if len(b) < 1+tagLen || !IsMessage(b) {
		return nil, &Error{"open", KindFormat, fmt.Errorf("datagram of %d bytes is not a control message", len(b))}
	}
	body := b[1+tagLen:]
	if !hmac.Equal(c.tag(body), b[1:1+tagLen]) {
		return nil, &Error{"open", KindSeal, errors.New("authentication tag does not match")}
	}
	m := new(Message)
	if err := cbor.Unmarshal(body, m); err != nil {
		return nil, &Error{"open", KindFormat, err}
	}
	return m, m.checkAddresses()
}

// checkAddresses returns an error if a member's address is not IPv4. The handlers of
// messages assume IPv4 addresses.
func (m *Message) checkAddresses() error {
	for _, r := range append([]roster.Member{m.From}, m.Members...) {
		if !r.Addr.Addr().Is4() {
			return &Error{"open", KindFormat, fmt.Errorf("address %v of member %q is not IPv4", r.Addr, r.Name)}
		}
	}
	return nil
}

func (c *Codec) tag(body []byte) []byte {
	h := hmac.New(sha256.New, c.key)
	h.Write(body)
	return h.Sum(nil)[:tagLen]
}
