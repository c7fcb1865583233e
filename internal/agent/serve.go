package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"

	"skylarkturn/internal/admission"
	"skylarkturn/internal/peer"
	"skylarkturn/internal/request"
	"skylarkturn/internal/service"
	"skylarkturn/internal/session"
)

const (
	resolveTimeout = time.Second
	maxTimeout     = 10 * time.Minute
	maxKeyLen      = 128 // bytes of an idempotency key
)

// exchange is a request being served and its response.
type exchange struct {
	w        http.ResponseWriter
	r        *http.Request
	ctx      context.Context // ends at the deadline and when the caller cancels
	class    service.Class
	session  uint64        // number of the caller's session at this agent
	deadline time.Duration // on the agent's clock
	key      string        // idempotency key
	started  time.Time
}

// clock returns the monotonic time since the agent's start. Deadlines and the issue
// times of bindings are on this clock.
func (a *Agent) clock() time.Duration { return time.Since(a.startedAt) }

// serve handles a request of a caller, according to the class of its path and whether
// it may run more than once.
func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(session.HeaderTarget, a.cfg.Name)
	if r.URL.Path == session.Path {
		a.serveSession(w, r)
		return
	}
	s := a.currentService()
	x := &exchange{
		w:       w,
		r:       r,
		class:   s.ClassOf(r.URL.Path),
		session: sessionID(r.Context()),
		key:     r.Header.Get(session.HeaderKey),
		started: time.Now(),
	}
	a.requests.addActive()
	defer a.requests.removeActive()
	if x.key != "" {
		w.Header().Set(session.HeaderKey, x.key)
	}
	timeout, err := a.requestTimeout(r)
	if err != nil {
		a.writeProblem(x, problem{status: http.StatusBadRequest, title: "invalid", detail: err.Error(), outcome: request.OutcomeNotRun, final: true})
		return
	}
	x.deadline = a.clock() + timeout
	if x.class.Stream {
		x.ctx = r.Context()
		a.serveFeed(x)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	x.ctx = ctx
	switch {
	case idempotent(r.Method, x.class):
		a.serveIdempotent(x)
	case x.key == "" && r.Header.Get(session.HeaderBinding) == "":
		a.serveUnbound(x)
	default:
		a.serveBound(x)
	}
}

// idempotent reports whether a request is idempotent: by its method (RFC 9110, section
// 9.2.2) or because its class is declared so.
func idempotent(method string, c service.Class) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return c.Idempotent
}

var errTimeout = errors.New(session.HeaderTimeout + ": want milliseconds from 1 to 600000")

// requestTimeout returns the timeout that the request carries, or the default.
func (a *Agent) requestTimeout(r *http.Request) (time.Duration, error) {
	text := r.Header.Get(session.HeaderTimeout)
	if text == "" {
		return a.cfg.Timeout.Or(defaultTimeout), nil
	}
	ms, err := strconv.Atoi(text)
	if err != nil || ms < 1 || time.Duration(ms)*time.Millisecond > maxTimeout {
		return 0, errTimeout
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// serveSession serves the session resource: a new binding, and whether the caller
// should move to another target.
func (a *Agent) serveSession(w http.ResponseWriter, _ *http.Request) {
	moving, _ := a.draining.get()
	if !moving && a.shouldMoveSession() {
		moving = true
		a.counters.moveRequests.Inc()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(session.Info{Binding: a.newBinding(), Target: a.cfg.Name, Moving: moving}) // the caller disconnected
}

// shouldMoveSession reports whether the session of the current request should move to
// another target, because this one has more than its share of sessions.
func (a *Agent) shouldMoveSession() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	self, others := a.loadsByTarget()
	return a.rebalancer.ShouldMove(time.Now(), self, others)
}

// newBinding returns an encoded binding to this incarnation, issued now.
func (a *Agent) newBinding() string {
	return request.Binding{
		Agent:       a.conn.self,
		Service:     a.cfg.Number,
		Incarnation: a.incarnation,
		Issued:      a.clock(),
	}.Encode(a.bindingKey)
}

// serveIdempotent serves a request that may run more than once.
func (a *Agent) serveIdempotent(x *exchange) {
	if a.refuseWhileDraining(x) {
		return
	}
	if !a.acquire(x) {
		return
	}
	started := a.clock()
	defer a.release(x, started)
	a.relayResponse(x)
}

// refuseWhileDraining reports whether the target drains. If so, it refuses the request
// and asks the caller to open a session with another target.
func (a *Agent) refuseWhileDraining(x *exchange) bool {
	draining, _ := a.draining.get()
	if !draining {
		return false
	}
	a.writeProblem(x, problem{status: http.StatusServiceUnavailable, title: "leaving", detail: "the target takes no new work; open a session anew", outcome: request.OutcomeNotRun, move: true})
	return true
}

// acquire waits for a slot. If none becomes free in time, it writes a problem response
// and returns false.
func (a *Agent) acquire(x *exchange) bool {
	err := a.requests.acquire(x.ctx, a.clock(), x.admissionRequest())
	if err == nil {
		return true
	}
	a.writeProblem(x, a.overloadedProblem(err))
	return false
}

// admissionRequest returns the exchange as a request for a slot, without a ticket.
func (x *exchange) admissionRequest() admission.Request {
	return admission.Request{Session: x.session, Class: x.classID(), Priority: x.class.Priority, Deadline: x.deadline}
}

// classID identifies the exchange's class in the admission queue.
func (x *exchange) classID() uint64 { return xxh3.HashString(x.class.Name) }

// release frees the slot that the exchange has held since a time on the agent's clock.
func (a *Agent) release(x *exchange, started time.Duration) {
	now := a.clock()
	a.requests.release(now, x.session, x.classID(), now-started)
}

// overloadedProblem returns the problem response for a request that got no slot.
func (a *Agent) overloadedProblem(err error) problem {
	p := problem{status: http.StatusServiceUnavailable, title: "overloaded", detail: err.Error(), outcome: request.OutcomeNotRun, retryAfter: time.Second}
	var r *refusedError
	if errors.As(err, &r) {
		p.retryAfter = r.retryAfter
	}
	return p
}

// serveUnbound serves a request that is not idempotent and has no idempotency key. Its
// copies can't be recognized, so each one that arrives is run.
func (a *Agent) serveUnbound(x *exchange) {
	if a.refuseWhileDraining(x) || !a.readBody(x) || !a.acquire(x) {
		return
	}
	started := a.clock()
	defer a.release(x, started)
	answer, ran, err := a.runOnHost(x)
	if err != nil {
		a.writeProblem(x, hostProblem(ran, err))
		return
	}
	a.writeAnswer(x, answer)
}

// readBody buffers the complete request body, so that the host never receives a partial
// request that is not idempotent. If it can't, it writes a problem response and
// returns false.
func (a *Agent) readBody(x *exchange) bool {
	body, err := io.ReadAll(io.LimitReader(x.r.Body, a.cfg.MaxBody+1))
	switch {
	case err != nil:
		a.writeProblem(x, problem{status: http.StatusBadRequest, title: "body", detail: "the body broke off", outcome: request.OutcomeNotRun})
		return false
	case int64(len(body)) > a.cfg.MaxBody:
		a.writeProblem(x, problem{status: http.StatusRequestEntityTooLarge, title: "body", detail: fmt.Sprintf("the body is above %d bytes", a.cfg.MaxBody), outcome: request.OutcomeNotRun, final: true})
		return false
	}
	x.r.Body = io.NopCloser(bytes.NewReader(body))
	x.r.ContentLength = int64(len(body))
	return true
}

// hostProblem returns the problem response for a failed request to the host. Once the
// host may have run the request, its outcome is unknown for good.
func hostProblem(ran bool, err error) problem {
	if ran {
		return problem{status: http.StatusBadGateway, title: "host_lost", detail: err.Error(), outcome: request.OutcomeUnknown, final: true}
	}
	return problem{status: http.StatusServiceUnavailable, title: "host_unreachable", detail: err.Error(), outcome: request.OutcomeNotRun, retryAfter: time.Second}
}

// serveBound serves a request that is not idempotent and has an idempotency key and a
// binding. Only the incarnation named by the binding may run it.
func (a *Agent) serveBound(x *exchange) {
	b, err := request.ParseBinding(x.r.Header.Get(session.HeaderBinding), a.bindingKey)
	if err != nil || x.key == "" || len(x.key) > maxKeyLen || b.Service != a.cfg.Number {
		a.writeProblem(x, problem{status: http.StatusBadRequest, title: "binding", detail: "want a key of at most 128 bytes and a binding that this service handed out", outcome: request.OutcomeNotRun, final: true})
		return
	}
	if b.Agent != a.conn.self || b.Incarnation != a.incarnation {
		a.resolveRemotely(x, b)
		return
	}
	if !a.readBody(x) {
		return
	}
	for {
		v, answer, done := a.requests.begin(a.clock(), x.key, b.Issued)
		if v == request.Run {
			a.runBound(x)
			return
		}
		if v != request.InProgress {
			a.writeVerdict(x, v, answer)
			return
		}
		select {
		case <-done:
		case <-x.ctx.Done():
			a.writeVerdict(x, request.InProgress, answer)
			return
		}
	}
}

// runBound runs the copy of a request for which the ledger returned request.Run. It
// continues if the caller disconnects, since the caller may retry to get the response.
func (a *Agent) runBound(x *exchange) {
	if a.refuseWhileDraining(x) {
		a.requests.end(x.key, func(l *request.Ledger) { l.Fence(a.clock(), x.key) })
		return
	}
	if err := a.requests.acquire(x.ctx, a.clock(), x.admissionRequest()); err != nil {
		a.requests.end(x.key, func(l *request.Ledger) { l.Fence(a.clock(), x.key) })
		a.writeProblem(x, a.overloadedProblem(err))
		return
	}
	started := a.clock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), x.deadline-started)
	defer cancel()
	x.ctx = ctx
	answer, ran, err := a.runOnHost(x)
	a.release(x, started)
	switch {
	case err == nil:
		a.requests.end(x.key, func(l *request.Ledger) { l.Finish(a.clock(), x.key, *answer) })
		a.writeAnswer(x, answer)
	case ran:
		a.requests.end(x.key, func(l *request.Ledger) { l.Fail(a.clock(), x.key) })
		a.writeProblem(x, hostProblem(ran, err))
	default:
		a.requests.end(x.key, func(l *request.Ledger) { l.Fence(a.clock(), x.key) })
		a.writeProblem(x, hostProblem(ran, err))
	}
}

// resolveRemotely asks the incarnation that the request is bound to for the outcome,
// and writes it as the response.
func (a *Agent) resolveRemotely(x *exchange, b request.Binding) {
	if b.Agent == a.conn.self || a.hasEnded(b) {
		a.writeAgentGone(x)
		return
	}
	ctx, cancel := context.WithTimeout(x.ctx, resolveTimeout)
	defer cancel()
	res, err := a.peers.Resolve(ctx, x.key, b)
	switch {
	case peer.IsRefused(err):
		a.writeAgentGone(x)
	case err != nil:
		a.writeProblem(x, problem{status: http.StatusServiceUnavailable, title: "bound_agent_silent", detail: "the agent that may have run the request does not answer", outcome: request.OutcomeUnknown, retryAfter: time.Second})
	case !res.Known:
		a.writeAgentGone(x)
	default:
		a.writeVerdict(x, res.Verdict, res.Answer)
	}
}

// hasEnded reports whether the incarnation named by the binding is known for certain
// to have ended.
func (a *Agent) hasEnded(b request.Binding) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	m, ok := a.members.Get(b.Agent)
	return ok && (m.Incarnation > b.Incarnation || m.Incarnation == b.Incarnation && m.State.Ended())
}

// writeAgentGone writes the response for a request bound to an incarnation that has
// ended.
func (a *Agent) writeAgentGone(x *exchange) {
	a.writeProblem(x, problem{status: http.StatusBadGateway, title: "bound_agent_gone", detail: "the agent that may have run the request has ended", outcome: request.OutcomeUnknown, final: true})
}

// Resolve returns the verdict on a request, for another agent that has received a copy
// of it. It returns false if the binding is to another incarnation.
func (a *Agent) Resolve(key string, b request.Binding) (request.Verdict, request.Answer, bool) {
	if b.Incarnation != a.incarnation {
		return 0, request.Answer{}, false
	}
	v, answer := a.requests.resolve(a.clock(), key, b.Issued)
	return v, answer, true
}

// writeVerdict writes the response for a copy of a request that is not to be run.
func (a *Agent) writeVerdict(x *exchange, v request.Verdict, answer request.Answer) {
	switch v {
	case request.Replay:
		if answer.Dropped {
			a.writeProblem(x, problem{status: http.StatusConflict, title: "answer_dropped", detail: "the request ran; its answer was too large to keep", outcome: request.OutcomeRun, final: true})
			return
		}
		a.writeAnswer(x, &answer)
	case request.InProgress:
		a.writeProblem(x, problem{status: http.StatusConflict, title: "in_progress", detail: "another copy of the request is running", outcome: request.OutcomeUnknown, retryAfter: time.Second})
	case request.Fenced:
		draining, _ := a.draining.get()
		a.writeProblem(x, problem{status: http.StatusServiceUnavailable, title: "not_run", detail: "the request did not run and will not under this binding", outcome: request.OutcomeNotRun, move: draining})
	case request.Lost:
		a.writeProblem(x, problem{status: http.StatusBadGateway, title: "host_lost", detail: "the host was lost while the request ran", outcome: request.OutcomeUnknown, final: true})
	default:
		a.writeProblem(x, problem{status: http.StatusConflict, title: "binding_expired", detail: "the binding is too old to tell whether the request ran", outcome: request.OutcomeUnknown, final: true})
	}
}

// writeAnswer writes the host's response to a request that is not idempotent.
func (a *Agent) writeAnswer(x *exchange, answer *request.Answer) {
	h := x.w.Header()
	if answer.ContentType != "" {
		h.Set("Content-Type", answer.ContentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	h.Set(session.HeaderOutcome, string(request.OutcomeRun))
	if draining, _ := a.draining.get(); draining {
		h.Set(session.HeaderMove, "1")
	}
	a.counters.observeRequest(x.class.Name, "answered", time.Since(x.started))
	x.w.WriteHeader(answer.Status)
	_, _ = x.w.Write(answer.Body) // the caller disconnected; the ledger keeps the response for a retry
}
