package session

import "time"

// Path is the resource that hands out bindings and answers heartbeats.
const Path = "/.well-known/skylarkturn/session"

// Header fields.
const (
	HeaderKey     = "Skylark-Key"     // of a request that is not idempotent; the answer repeats it
	HeaderBinding = "Skylark-Binding" // incarnation that may run the request; answers bring a fresh one
	HeaderTimeout = "Skylark-Timeout" // milliseconds that the sender still waits
	HeaderOutcome = "Skylark-Outcome" // run, not_run or unknown
	HeaderFinal   = "Skylark-Final"   // 1 when asking again brings no other outcome
	HeaderMove    = "Skylark-Move"    // 1 when the target leaves: open a session anew
	HeaderTarget  = "Skylark-Target"  // name of the target that answered
	HeaderPad     = "Skylark-Pad"     // makes a heartbeat large enough to be answered by a stateless reset
)

// MoveComment is the line that an agent puts between the events of a feed to
// ask the caller to resume it elsewhere. It is a comment of server-sent events.
const MoveComment = ":skylark-move"

// Info is the answer of the session resource.
type Info struct {
	Binding string `json:"binding"`
	Target  string `json:"target"`
	Moving  bool   `json:"moving"` // the target leaves: open a session anew
}

// BindingFresh is the age up to which callers use a binding for a new request.
const BindingFresh = 30 * time.Second
