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

	"skylarkturn/internal/peer"
	"skylarkturn/internal/request"
	"skylarkturn/internal/service"
	"skylarkturn/internal/session"
)

const (
	resolveTimeout = time.Second
	maxTimeout     = 10 * time.Minute
	maxKeyLen      = 128
)

// exchange is one request that the agent serves.
type exchange struct {
	w        http.ResponseWriter
	r        *http.Request
	ctx      context.Context // ends at the deadline and when the caller cancels
	class    service.Class
	session  uint64
	deadline time.Duration // on the agent's clock
	key      string
	started  time.Time
}

// Returns the time since the agent's start, by the monotonic clock.
func (a *Agent) clock() time.Duration { return time.Since(a.startedAt) }

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

// Methods that RFC 9110, 9.2.2 calls idempotent, or a class declared so.
func idempotent(method string, c service.Class) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return c.Idempotent
}

var errTimeout = errors.New(session.HeaderTimeout + ": want milliseconds from 1 to 600000")

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

func (a *Agent) serveSession(w http.ResponseWriter, _ *http.Request) {
	moving, _ := a.draining.get()
	if !moving && a.shouldMoveSession() {
		moving = true
		a.counters.moveRequests.Inc()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(session.Info{Binding: a.newBinding(), Target: a.cfg.Name, Moving: moving}) // the caller is gone
}

// Reports whether the session that asks is to move, since the target has more
// sessions than its share.
func (a *Agent) shouldMoveSession() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	self, others := a.loadsByTarget()
	return a.rebalancer.ShouldMove(time.Now(), self, others)
}

// Returns a fresh newBinding to this incarnation.
func (a *Agent) newBinding() string {
	return request.Binding{
		Agent:       a.conn.self,
		Service:     a.cfg.Number,
		Incarnation: a.incarnation,
		Issued:      a.clock(),
	}.Encode(a.bindingKey)
}

// Serves a request that may be sent again at will.
func (a *Agent) serveIdempotent(x *exchange) {
	if a.refuseWhileDraining(x) {
		return
	}
	if !a.acquire(x) {
		return
	}
	started := a.clock()
	defer func() { a.requests.release(a.clock(), x.session, a.clock()-started) }()
	a.relayResponse(x)
}

// Refuses new work while the target leaves, and tells the caller to move.
func (a *Agent) refuseWhileDraining(x *exchange) bool {
	leaving, _ := a.draining.get()
	if !leaving {
		return false
	}
	a.writeProblem(x, problem{status: http.StatusServiceUnavailable, title: "leaving", detail: "the target takes no new work; open a session anew", outcome: request.OutcomeNotRun, move: true})
	return true
}

// Waits for a slot; when there is none in time it answers so and returns false.
func (a *Agent) acquire(x *exchange) bool {
	err := a.requests.acquire(x.ctx, a.clock(), x.deadline, x.session, x.class.Priority)
	if err == nil {
		return true
	}
	a.writeProblem(x, a.overloadedProblem(err))
	return false
}

func (a *Agent) overloadedProblem(err error) problem {
	p := problem{status: http.StatusServiceUnavailable, title: "overloaded", detail: err.Error(), outcome: request.OutcomeNotRun, retryAfter: time.Second}
	var r *refusedError
	if errors.As(err, &r) {
		p.retryAfter = r.retryAfter
	}
	return p
}

// Runs a request that is not idempotent and that brings no key: it can't be
// told from a copy of it, so it runs once each time that it arrives.
func (a *Agent) serveUnbound(x *exchange) {
	if a.refuseWhileDraining(x) || !a.readBody(x) || !a.acquire(x) {
		return
	}
	started := a.clock()
	defer func() { a.requests.release(a.clock(), x.session, a.clock()-started) }()
	answer, ran, err := a.runOnHost(x)
	if err != nil {
		a.writeProblem(x, hostProblem(ran, err))
		return
	}
	a.writeAnswer(x, answer)
}

// Reads the whole body, so that a host never sees half of a request that is not
// idempotent; when it can't, it answers so and returns false.
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

func hostProblem(ran bool, err error) problem {
	if ran {
		return problem{status: http.StatusBadGateway, title: "host_lost", detail: err.Error(), outcome: request.OutcomeUnknown, final: true}
	}
	return problem{status: http.StatusServiceUnavailable, title: "host_unreachable", detail: err.Error(), outcome: request.OutcomeNotRun, retryAfter: time.Second}
}

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

// Runs the one copy that the ledger let through. A caller that goes away does
// not stop it: its retry will ask for the answer.
func (a *Agent) runBound(x *exchange) {
	if a.refuseWhileDraining(x) {
		a.requests.end(x.key, func(l *request.Ledger) { l.Fence(a.clock(), x.key) })
		return
	}
	if err := a.requests.acquire(x.ctx, a.clock(), x.deadline, x.session, x.class.Priority); err != nil {
		a.requests.end(x.key, func(l *request.Ledger) { l.Fence(a.clock(), x.key) })
		a.writeProblem(x, a.overloadedProblem(err))
		return
	}
	started := a.clock()
	caller := x.ctx
	ctx, cancel := context.WithTimeout(context.WithoutCancel(caller), x.deadline-started)
	defer cancel()
	x.ctx = ctx
	answer, ran, err := a.runOnHost(x)
	a.requests.release(a.clock(), x.session, a.clock()-started)
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

// Asks the incarnation that the request is bound to what became of it.
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

// Reports whether the incarnation that a request is bound to is known for
// certain to have hasEnded.
func (a *Agent) hasEnded(b request.Binding) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	m, ok := a.members.Get(b.Agent)
	return ok && (m.Incarnation > b.Incarnation || m.Incarnation == b.Incarnation && m.State.Certain())
}

func (a *Agent) writeAgentGone(x *exchange) {
	a.writeProblem(x, problem{status: http.StatusBadGateway, title: "bound_agent_gone", detail: "the agent that may have run the request has ended", outcome: request.OutcomeUnknown, final: true})
}

// Resolve tells another agent what became of a request that is bound to this
// incarnation.
func (a *Agent) Resolve(key string, b request.Binding) (request.Verdict, request.Answer, bool) {
	if b.Incarnation != a.incarnation {
		return 0, request.Answer{}, false
	}
	v, answer := a.requests.resolve(a.clock(), key, b.Issued)
	return v, answer, true
}

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
		leaving, _ := a.draining.get()
		a.writeProblem(x, problem{status: http.StatusServiceUnavailable, title: "not_run", detail: "the request did not run and will not under this binding", outcome: request.OutcomeNotRun, move: leaving})
	case request.Lost:
		a.writeProblem(x, problem{status: http.StatusBadGateway, title: "host_lost", detail: "the host was lost while the request ran", outcome: request.OutcomeUnknown, final: true})
	default:
		a.writeProblem(x, problem{status: http.StatusConflict, title: "binding_expired", detail: "the binding is too old to tell whether the request ran", outcome: request.OutcomeUnknown, final: true})
	}
}

func (a *Agent) writeAnswer(x *exchange, answer *request.Answer) {
	h := x.w.Header()
	if answer.ContentType != "" {
		h.Set("Content-Type", answer.ContentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	h.Set(session.HeaderOutcome, string(request.OutcomeRun))
	if moving, _ := a.draining.get(); moving {
		h.Set(session.HeaderMove, "1")
	}
	a.counters.observeRequest(x.class.Name, "answered", time.Since(x.started))
	x.w.WriteHeader(answer.Status)
	_, _ = x.w.Write(answer.Body) // the caller is gone; the ledger has the answer
}
