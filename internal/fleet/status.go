package fleet

import (
	"encoding/json"
	"net/http"
	"time"
)

// Paths of the status endpoints on the metrics address of a daemon.
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

// Status is the status of a daemon. Fields that apply only to the other role are
// zero.
type Status struct {
	Name   string  `json:"name"`
	Role   string  `json:"role"`
	Zone   string  `json:"zone"`
	Inner  string  `json:"inner"`          // address for traffic between daemons
	Uptime float64 `json:"uptime_seconds"` // since the daemon started

	StoreEpoch       uint64   `json:"store_epoch,omitempty"`         // newest known epoch of the store
	ConfigVersion    uint64   `json:"config_version,omitempty"`      // of the applied configuration
	ConfigAge        float64  `json:"config_age_seconds,omitempty"`  // since it was applied
	ConfigCheckAge   float64  `json:"checked_ago_seconds,omitempty"` // since any balancer compared it with the store
	StoreUnavailable bool     `json:"store_lost,omitempty"`          // the store does not respond
	Settled          bool     `json:"settled,omitempty"`             // the balancer has learned of all members
	Isolated         bool     `json:"isolated,omitempty"`            // heartbeats of all agents have stopped
	Stopping         bool     `json:"stopping,omitempty"`
	Targets          int      `json:"targets,omitempty"`
	MissingAgents    []string `json:"unheard,omitempty"` // registered agents that have sent no heartbeat
	PendingFlows     int      `json:"pending,omitempty"` // flows that wait for their owner to reply or for a target

	Host          string  `json:"host,omitempty"` // latest incarnation of the host
	Service       string  `json:"service,omitempty"`
	HostState     string  `json:"host_state,omitempty"`
	HeartbeatAge  float64 `json:"heard_ago_seconds,omitempty"` // since the host's last heartbeat
	Slots         int     `json:"slots,omitempty"`             // requests that the host runs concurrently
	Busy          int     `json:"busy,omitempty"`              // requests running or queued
	FlowsComplete bool    `json:"complete,omitempty"`          // the flow table holds all flows of the host
	Observers     int     `json:"observers,omitempty"`         // balancers that receive the agent's heartbeats

	Flows int `json:"flows"` // in the daemon's flow table
}

// Member is an entry of a balancer's membership list.
type Member struct {
	Name         string  `json:"name"`
	Role         string  `json:"role"`
	Zone         string  `json:"zone"`
	Inner        string  `json:"inner"` // address for traffic between daemons
	State        string  `json:"state"`
	Incarnation  uint64  `json:"incarnation"`
	Service      string  `json:"service,omitempty"`
	Slots        uint32  `json:"slots,omitempty"`          // requests that the host runs concurrently
	Warmth       uint8   `json:"warmth_percent,omitempty"` // percentage of its share that a target in warm-up may take
	Flows        uint32  `json:"flows,omitempty"`          // open flows in the last heartbeat
	Busy         uint32  `json:"busy,omitempty"`           // requests in progress in the last heartbeat
	HeartbeatAge float64 `json:"heard_ago_seconds"`        // since its last direct heartbeat; -1 if there was none
}

// Decision is a logged decision of a daemon about a flow.
type Decision struct {
	Daemon  string    `json:"daemon,omitempty"` // daemon that made the decision
	At      time.Time `json:"time"`
	Flow    string    `json:"flow"`
	Outcome string    `json:"outcome"`
	Cause   string    `json:"cause"`
	Peer    string    `json:"peer,omitempty"`
	Version uint64    `json:"version,omitempty"` // of the configuration applied at the time
	Load    *Load     `json:"load,omitempty"`    // of the host, if the decision rests on it
}

// Load is the load of a host at a decision on a request or a new flow.
type Load struct {
	InProgress  int     `json:"in_progress"`  // requests forwarded to the host and not answered
	Held        int     `json:"held"`         // requests held back by the agent
	WaitMS      float64 `json:"wait_ms"`      // expected wait of a request of the flow
	ObjectiveMS float64 `json:"objective_ms"` // latency objective of the flow's requests
}

// JSONHandler serves the result of value as JSON.
func JSONHandler(value func() any) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(value()) // the client may have disconnected
	})
}
