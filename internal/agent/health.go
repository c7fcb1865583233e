package agent

import (
	"context"
	"encoding/json"
	"net/http"

	"skylarkturn/internal/ops"
)

// healthView is the response body of the health check.
type healthView struct {
	Target   string `json:"target"`
	State    string `json:"state"`
	Sessions int64  `json:"sessions"` // open sessions
	Busy     int    `json:"busy"`     // occupied request slots of the host
}

// serveOps serves the health check, the metrics and the profiles until ctx is done.
func (a *Agent) serveOps(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		a.mu.Lock()
		state := a.self.State
		a.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(healthView{a.cfg.Name, state.String(), a.sessions.Load(), a.requests.busy()}) // the client disconnected
	})
	mux.Handle("GET /metrics", ops.MetricsHandler(a.metrics.WritePrometheus, ops.WriteProcessMetrics))
	ops.RegisterProfiles(mux)
	return ops.Serve(ctx, a.opsListener, mux)
}
