package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"skylarkturn/internal/request"
	"skylarkturn/internal/session"
)

const maxBufferedResponse = 8 << 20 // bytes of an answer to a request that is not idempotent

// Header fields that belong to one connection (RFC 9110, 7.6.1) or to the
// session between caller and agent.
var droppedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	session.HeaderBinding: true, session.HeaderPad: true,
}

func copyHeader(dst, src http.Header) {
	for k, v := range src {
		if !droppedHeaders[k] {
			dst[k] = v
		}
	}
}

// Sends the request to the host; sent tells whether any of it may have reached
// the host.
func (a *Agent) sendToHost(ctx context.Context, x *exchange) (resp *http.Response, sent bool, err error) {
	u, err := url.Parse(a.cfg.HostURL)
	if err != nil {
		return nil, false, err
	}
	u.Path, u.RawPath, u.RawQuery = x.r.URL.Path, x.r.URL.RawPath, x.r.URL.RawQuery
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), x.r.Method, u.String(), http.MaxBytesReader(nil, x.r.Body, a.cfg.MaxBody))
	if err != nil {
		return nil, false, err
	}
	req.ContentLength = x.r.ContentLength
	if x.r.ContentLength == 0 {
		req.Body = http.NoBody
	}
	copyHeader(req.Header, x.r.Header)
	req.Header.Set("X-Forwarded-For", remoteIP(x.r.RemoteAddr))
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(session.HeaderTimeout, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	resp, err = a.hostClient.Do(req)
	if !sent && err != nil {
		a.recordHostFailure(ctx, err)
	}
	if err == nil {
		a.recordHostResponse()
	}
	return resp, sent, err
}

func remoteIP(hostport string) string {
	host, _, err := net.SplitHostPort(hostport)
	if err != nil {
		return hostport
	}
	return host
}

// Sends the request to the host and returns its answer, whose body the caller
// closes; when there is none it tells the caller so and returns false.
func (a *Agent) openResponse(ctx context.Context, x *exchange) (*http.Response, bool) {
	resp, sent, err := a.sendToHost(ctx, x)
	if err != nil {
		a.writeProblem(x, hostProblem(sent, err))
		return nil, false
	}
	if p, shed := sheddingProblem(resp); shed {
		_ = resp.Body.Close() // its text is replaced by the problem
		a.writeProblem(x, p)
		return nil, false
	}
	return resp, true
}

// Relays the answer of the host to an idempotent request as it comes. An answer
// that breaks off is broken off towards the caller, too.
func (a *Agent) relayResponse(x *exchange) {
	resp, ok := a.openResponse(x.ctx, x)
	if !ok {
		return
	}
	defer resp.Body.Close()
	copyHeader(x.w.Header(), resp.Header)
	if moving, _ := a.draining.get(); moving {
		x.w.Header().Set(session.HeaderMove, "1")
	}
	x.w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(x.w, resp.Body); err != nil {
		a.counters.observeRequest(x.class.Name, "broken_off", time.Since(x.started))
		panic(http.ErrAbortHandler)
	}
	a.counters.observeRequest(x.class.Name, "answered", time.Since(x.started))
}

// A host that answers 429 or 503 says that it did not run the request.
func sheddingProblem(resp *http.Response) (problem, bool) {
	if resp.StatusCode != http.StatusTooManyRequests && resp.StatusCode != http.StatusServiceUnavailable {
		return problem{}, false
	}
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || seconds < 1 {
		seconds = 1
	}
	return problem{
		status:     http.StatusServiceUnavailable,
		title:      "host_shedding",
		detail:     "the host refused the request as overloaded",
		outcome:    request.OutcomeNotRun,
		retryAfter: time.Duration(seconds) * time.Second,
	}, true
}

var errHostShedding = errors.New("the host refused the request as overloaded")

// Has the host run a request that is not idempotent and returns its whole
// answer; ran tells, after an error, whether it may have run.
func (a *Agent) runOnHost(x *exchange) (answer *request.Answer, ran bool, err error) {
	resp, sent, err := a.sendToHost(x.ctx, x)
	if err != nil {
		return nil, sent, err
	}
	defer resp.Body.Close()
	if _, shed := sheddingProblem(resp); shed {
		return nil, false, errHostShedding
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedResponse+1))
	if err != nil {
		return nil, true, fmt.Errorf("the host's answer broke off: %w", err)
	}
	if len(body) > maxBufferedResponse {
		return nil, true, fmt.Errorf("the host's answer is above %d bytes", maxBufferedResponse)
	}
	return &request.Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, true, nil
}

// A failure counts against the host unless the request's own end caused it.
func (a *Agent) recordHostFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	a.mu.Lock()
	a.target.RecordHostFailure()
	down := a.target.HostDown()
	a.mu.Unlock()
	if down {
		a.log.Warn().Err(err).Msg("host not reached")
		a.announce(time.Now())
	}
}

func (a *Agent) recordHostResponse() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.target.RecordHostResponse()
}

func (a *Agent) hostDown() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.target.HostDown()
}

// Tries to connect to a host that is down.
func (a *Agent) probeHost(ctx context.Context) {
	u, err := url.Parse(a.cfg.HostURL)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tickInterval/2)
	defer cancel()
	c, err := new(net.Dialer).DialContext(ctx, "tcp", u.Host)
	if err != nil {
		return
	}
	_ = c.Close()
	a.recordHostResponse()
}
