package session

import "time"

// Path is the path of the session resource, which issues bindings and answers
// heartbeats.
const Path = "/.well-known/skylarkturn/session"

// Header fields.
const (
	HeaderKey     = "Skylark-Key"     // idempotency key of a request that is not idempotent; the response repeats it
	HeaderBinding = "Skylark-Binding" // binding to the incarnation that may run the request; responses carry a new one
	HeaderTimeout = "Skylark-Timeout" // milliseconds until the sender gives up
	HeaderOutcome = "Skylark-Outcome" // run, not_run or unknown
	HeaderFinal   = "Skylark-Final"   // 1 if a retry cannot change the outcome
	HeaderMove    = "Skylark-Move"    // 1 if the caller should open a new session, since the target is leaving
	HeaderTarget  = "Skylark-Target"  // name of the target that responded
	HeaderPad     = "Skylark-Pad"     // pads a heartbeat, since a stateless reset must be shorter than the packet it answers
)

// MoveComment is the line that an agent inserts between the events of a feed to ask
// the caller to resume the feed on another target. It is a comment in the format of
// server-sent events.
const MoveComment = ":skylark-move"

// Info is the response body of the session resource.
type Info struct {
	Binding string `json:"binding"`
	Target  string `json:"target"`
	Moving  bool   `json:"moving"` // the caller should open a new session: the target drains or has more than its share of sessions
}

// BindingMaxAge is the maximum age of a binding that callers use for a new request.
const BindingMaxAge = 30 * time.Second
