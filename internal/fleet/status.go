package fleet

import (
	"encoding/json"
	"net/http"
	"time"
)

// Paths at which daemons tell of themselves on their metrics address.
const (
	StatusPath  = "/debug/status"
	MembersPath = "/debug/members"
	FlowsPath   = "/debug/flows"
)

// Roles of daemons.
const (
	RoleBalancer = "balancer"
	RoleAgent    = "agent"
)

// Status is what a daemon tells of itself; fields of the other role are zero.
type Status struct {
	Name   string  `json:"name"`
	Role   string  `json:"role"`
	Zone   string  `json:"zone"`
	Inner  string  `json:"inner"`          // address for datagrams between daemons
	Uptime float64 `json:"uptime_seconds"` // since its start

	ConfigVersion uint64   `json:"config_version,omitempty"`      // in force
	ConfigAge     float64  `json:"config_age_seconds,omitempty"`  // since it is in force
	CheckedAgo    float64  `json:"checked_ago_seconds,omitempty"` // since some balancer checked it against the store
	StoreLost     bool     `json:"store_lost,omitempty"`          // the store does not answer
	Settled       bool     `json:"settled,omitempty"`             // all members are known
	Isolated      bool     `json:"isolated,omitempty"`            // no agent is heard any more
	Stopping      bool     `json:"stopping,omitempty"`
	Targets       int      `json:"targets,omitempty"`
	Unheard       []string `json:"unheard,omitempty"` // agents of the registry that have not been heard
	Pending       int      `json:"pending,omitempty"` // flows that wait for their owner or for a target

	Host      string  `json:"host,omitempty"` // newest incarnation of the host
	Service   string  `json:"service,omitempty"`
	HostState string  `json:"host_state,omitempty"`
	HeardAgo  float64 `json:"heard_ago_seconds,omitempty"` // since the host's last heartbeat
	Slots     int     `json:"slots,omitempty"`             // requests that the host runs at a time
	Busy      int     `json:"busy,omitempty"`              // requests in progress or waiting
	Complete  bool    `json:"complete,omitempty"`          // the table has all of the host's flows
	Observers int     `json:"observers,omitempty"`         // balancers that heartbeats go to

	Flows int `json:"flows"` // that the daemon knows
}

// Member is what a balancer knows of another daemon.
type Member struct {
	Name        string  `json:"name"`
	Role        string  `json:"role"`
	Zone        string  `json:"zone"`
	Inner       string  `json:"inner"`
	State       string  `json:"state"`
	Incarnation uint64  `json:"incarnation"`
	Service     string  `json:"service,omitempty"`
	Slots       uint32  `json:"slots,omitempty"`
	Warmth      uint8   `json:"warmth_percent,omitempty"` // of its share that the target may take
	Flows       uint32  `json:"flows,omitempty"`          // open at its last heartbeat
	Busy        uint32  `json:"busy,omitempty"`           // requests in progress at its last heartbeat
	HeardAgo    float64 `json:"heard_ago_seconds"`        // since it was last heard directly; -1 is never
}

// Decision is one decision of a daemon about a flow.
type Decision struct {
	Daemon  string    `json:"daemon,omitempty"` // who told of it
	At      time.Time `json:"time"`
	Flow    string    `json:"flow"`
	Outcome string    `json:"outcome"`
	Cause   string    `json:"cause"`
	Peer    string    `json:"peer,omitempty"`
	Version uint64    `json:"version,omitempty"` // of the configuration in force
}

// Handler answers with what view returns, as JSON.
func Handler(view func() any) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(view()) // the reader may have gone
	})
}
