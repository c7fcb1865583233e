package inner

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"skylarkturn/internal/control"
	"skylarkturn/internal/membership"
	"skylarkturn/internal/tunnel"
	"skylarkturn/internal/udpio"
)

// KindNetwork is the kind of socket errors.
const KindNetwork = "network"

// Error reports the operation of package inner that failed and why.
type Error struct {
	Op   string
	Kind string
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("inner: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

const maxDatagram = 4096 // bytes; above control.MaxMessageSize and tunnel.MaxLen

// Handler handles tunnel datagrams and control messages that arrive on a Socket. It
// must not retain the content of a tunnel datagram after it returns.
type Handler interface {
	HandleTunnelDatagram(from netip.AddrPort, h *tunnel.Header, content []byte)
	HandleMessage(m *control.Message)
}

// Socket sends and receives control messages and tunnel datagrams over UDP.
type Socket struct {
	conn  *net.UDPConn
	codec *control.Codec

	messagesIn, messagesOut *metrics.Counter // control messages received and sent
	bytesIn, bytesOut       *metrics.Counter // bytes of these messages
	malformedDatagrams      *metrics.Counter // received datagrams that could not be decoded
	sendErrors              *metrics.Counter // failed writes, and reads that report a refused datagram
}

// Open listens on addr. The secret authenticates control messages. The metrics of
// the socket are registered in set.
func Open(addr netip.AddrPort, secret []byte, set *metrics.Set) (*Socket, error) {
	codec, err := control.NewCodec(secret)
	if err != nil {
		return nil, err
	}
	conn, err := udpio.ListenUDP(addr.String())
	if err != nil {
		return nil, err
	}
	return &Socket{
		conn:               conn,
		codec:              codec,
		messagesIn:         set.NewCounter(`skylark_control_messages_total{direction="in"}`),
		messagesOut:        set.NewCounter(`skylark_control_messages_total{direction="out"}`),
		bytesIn:            set.NewCounter(`skylark_control_bytes_total{direction="in"}`),
		bytesOut:           set.NewCounter(`skylark_control_bytes_total{direction="out"}`),
		malformedDatagrams: set.NewCounter(`skylark_inner_malformed_total`),
		sendErrors:         set.NewCounter(`skylark_inner_unsent_total`),
	}, nil
}

// Addr returns the address that the socket listens on.
func (s *Socket) Addr() netip.AddrPort { return udpio.LocalAddr(s.conn) }

// Close closes the socket and ends receiving.
func (s *Socket) Close() error { return s.conn.Close() }

// Serve passes incoming tunnel datagrams and control messages to h until ctx is done
// or the socket is closed.
func (s *Socket) Serve(ctx context.Context, h Handler) error {
	onError := func(error) { s.sendErrors.Inc() }
	udpio.Receive(ctx, s.conn, maxDatagram, onError, func(b []byte, from netip.AddrPort) { s.dispatch(from, b, h) })
	return nil
}

func (s *Socket) dispatch(from netip.AddrPort, b []byte, h Handler) {
	if tunnel.HasMagic(b) {
		header, content, err := tunnel.Decode(b)
		if err != nil {
			s.malformedDatagrams.Inc()
			return
		}
		h.HandleTunnelDatagram(from, &header, content)
		return
	}
	m, err := s.codec.Open(b)
	if err != nil {
		s.malformedDatagrams.Inc()
		return
	}
	s.messagesIn.Inc()
	s.bytesIn.Add(len(b))
	h.HandleMessage(m)
}

// SendMessages sends control messages. It returns the errors of those that could not
// be encoded; send errors are only counted.
func (s *Socket) SendMessages(out []membership.Outgoing) error {
	var errs error
	for _, o := range out {
		b, err := s.codec.Seal(o.Message)
		if err != nil {
			errs = errors.Join(errs, err)
			continue
		}
		s.messagesOut.Inc()
		s.bytesOut.Add(len(b))
		s.send(o.To, b)
	}
	return errs
}

// SendTunnelDatagram sends one tunnel datagram.
func (s *Socket) SendTunnelDatagram(to netip.AddrPort, h tunnel.Header, content []byte) {
	var buf [tunnel.MaxLen]byte
	s.send(to, tunnel.Append(buf[:0], h, content))
}

// SendQuestions asks an agent about flows, in as many datagrams as needed.
func (s *Socket) SendQuestions(to netip.AddrPort, questions []tunnel.Question) {
	var buf [tunnel.MaxLen]byte
	for q := range slices.Chunk(questions, tunnel.MaxQuestions) {
		s.send(to, tunnel.AppendQuestions(buf[:0], q))
	}
}

// SendAnswers answers a balancer's questions, in as many datagrams as needed.
func (s *Socket) SendAnswers(to netip.AddrPort, answers []tunnel.Answer) {
	var buf [tunnel.MaxLen]byte
	for a := range slices.Chunk(answers, tunnel.MaxQuestions) {
		s.send(to, tunnel.AppendAnswers(buf[:0], a))
	}
}

// send sends a datagram. A failure is only counted, since the protocols above
// tolerate lost datagrams.
func (s *Socket) send(to netip.AddrPort, b []byte) {
	if _, err := s.conn.WriteToUDPAddrPort(b, to); err != nil {
		s.sendErrors.Inc()
	}
}
