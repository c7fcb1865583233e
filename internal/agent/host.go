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

// maxBufferedResponse is the maximum size in bytes of a response to a request that
// is not idempotent, which is buffered as a whole.
const maxBufferedResponse = 8 << 20

// droppedHeaders holds the header fields that are not forwarded, since they apply to a
// single connection (RFC 9110, section 7.6.1) or to the session between caller and
// agent.
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

// sendToHost sends the request to the host. sent reports whether there was a connection
// to the host, in which case the request may have reached it.
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

// remoteIP returns the host part of hostport, or hostport itself if it has no port.
func remoteIP(hostport string) string {
	host, _, err := net.SplitHostPort(hostport)
	if err != nil {
		return hostport
	}
	return host
}

// openResponse sends the request to the host and returns the response, whose body must
// be closed. If the host does not respond or sheds load, openResponse writes a problem
// response and returns false.
func (a *Agent) openResponse(ctx context.Context, x *exchange) (*http.Response, bool) {
	resp, sent, err := a.sendToHost(ctx, x)
	if err != nil {
		a.writeProblem(x, hostProblem(sent, err))
		return nil, false
	}
	if p, shed := sheddingProblem(resp); shed {
		_ = resp.Body.Close() // the problem response replaces it
		a.writeProblem(x, p)
		return nil, false
	}
	return resp, true
}

// relayResponse streams the host's response to an idempotent request to the caller. If
// the host's response is cut off, the response to the caller is reset too.
func (a *Agent) relayResponse(x *exchange) {
	resp, ok := a.openResponse(x.ctx, x)
	if !ok {
		return
	}
	defer resp.Body.Close()
	copyHeader(x.w.Header(), resp.Header)
	if draining, _ := a.draining.get(); draining {
		x.w.Header().Set(session.HeaderMove, "1")
	}
	x.w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(x.w, resp.Body); err != nil {
		a.counters.observeRequest(x.class.Name, "broken_off", time.Since(x.started))
		panic(http.ErrAbortHandler)
	}
	a.counters.observeRequest(x.class.Name, "answered", time.Since(x.started))
}

// sheddingProblem returns the problem response for a host that sheds load. By its
// status, 429 or 503, the host states that it did not run the request.
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

// runOnHost sends a request that is not idempotent to the host and returns the complete
// response. In the case of an error, ran reports whether the host may have run it.
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

// recordHostFailure records a failure to reach the host, unless it was caused by
// the end of the request's context.
func (a *Agent) recordHostFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	a.mu.Lock()
	a.target.RecordHostFailure()
	down := a.target.HostDown()
	a.mu.Unlock()
	if down {
		a.log.Warn().Err(err).Msg("host is unreachable")
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

// probeHost connects to a host that is down, to find out whether it is back.
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
