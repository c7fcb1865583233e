package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/keepalive"

	"skylarkturn/internal/control"
	"skylarkturn/internal/credential"
	"skylarkturn/internal/request"
	"skylarkturn/internal/roster"
	"skylarkturn/internal/service"
)

// Kinds of errors of calls.
const (
	KindCall    = "call"
	KindRefused = "refused" // no process listens at the address
)

// IsRefused reports whether a call failed because the connection was refused. This
// proves that no process listens at the address, since a frozen or unreachable
// process does not refuse connections.
func IsRefused(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == KindRefused
}

// Error describes a failed call.
type Error struct {
	Op   string
	Kind string
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("peer: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

const (
	codecName       = "cbor"
	serviceName     = "skylarkturn.Peer"
	idleTimeout     = 30 * time.Second // after which an unused connection is closed
	maxReceiveBytes = 64 << 20         // enough for the whole configuration

	// minConnectTimeout is longer than the contexts of calls, which end them sooner.
	// If it were zero, gRPC would end the first connection attempt after the base delay
	// of reconnectBackoff.
	minConnectTimeout = 5 * time.Second
)

// reconnectBackoff is shorter than the default of gRPC, since a daemon that
// restarts is back within seconds.
var reconnectBackoff = backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}

type codec struct{}

func (codec) Marshal(v any) ([]byte, error)      { return cbor.Marshal(v) }
func (codec) Unmarshal(data []byte, v any) error { return cbor.Unmarshal(data, v) }
func (codec) Name() string                       { return codecName }

var _ encoding.Codec = codec{}

// Directory provides the configuration and the members that a daemon knows.
type Directory interface {
	// Services returns the services whose generation is newer than the one in
	// have and, if all is set, also the services that have does not list.
	Services(have []control.Generation, all bool) []service.Service
	Members() []roster.Member
}

// Resolver returns the outcome of a request that was bound to an incarnation of an
// agent; known is false if the daemon is not that incarnation.
type Resolver interface {
	Resolve(key string, b request.Binding) (v request.Verdict, a request.Answer, known bool)
}

type (
	servicesRequest struct {
		Have []control.Generation `cbor:"1,keyasint,omitempty"`
		All  bool                 `cbor:"2,keyasint,omitempty"`
	}
	servicesReply struct {
		Services []service.Service `cbor:"1,keyasint,omitempty"`
	}
	membersRequest struct{}
	membersReply   struct {
		Members []roster.Member `cbor:"1,keyasint,omitempty"`
	}
	resolveRequest struct {
		Key     string          `cbor:"1,keyasint"`
		Binding request.Binding `cbor:"2,keyasint"`
	}
	resolveReply struct {
		Known   bool            `cbor:"1,keyasint"`
		Verdict request.Verdict `cbor:"2,keyasint,omitempty"`
		Answer  request.Answer  `cbor:"3,keyasint,omitempty"`
	}
)

// Resolution is the outcome of a request as reported by the incarnation that it
// was bound to.
type Resolution struct {
	Known   bool // false if the address now belongs to another incarnation
	Verdict request.Verdict
	Answer  request.Answer
}

// server implements the calls on the daemon's directory and resolver.
type server struct {
	directory Directory
	resolver  Resolver
}

// Serve serves calls on ln until ctx is done. If resolver is nil, every request is
// reported as unknown.
func Serve(ctx context.Context, ln net.Listener, creds *credential.Store, directory Directory, resolver Resolver) error {
	s := grpc.NewServer(
		grpc.Creds(credentials.NewTLS(creds.DaemonServerTLS())),
		grpc.ForceServerCodec(codec{}),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: idleTimeout}),
	)
	s.RegisterService(&serviceDesc, &server{directory, resolver})
	stop := context.AfterFunc(ctx, s.Stop)
	defer stop()
	if err := s.Serve(ln); err != nil && ctx.Err() == nil {
		return &Error{"serve", KindCall, err}
	}
	return nil
}

var serviceDesc = grpc.ServiceDesc{
	ServiceName: serviceName,
	HandlerType: (*any)(nil),
	Methods: []grpc.MethodDesc{
		{MethodName: "Services", Handler: unaryHandler((*server).services)},
		{MethodName: "Members", Handler: unaryHandler((*server).members)},
		{MethodName: "Resolve", Handler: unaryHandler((*server).resolve)},
	},
}

// unaryHandler adapts a method of server to the handler type of gRPC.
func unaryHandler[Q, P any](f func(*server, context.Context, *Q) (*P, error)) grpc.MethodHandler {
	return func(srv any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		q := new(Q)
		if err := decode(q); err != nil {
			return nil, err
		}
		return f(srv.(*server), ctx, q)
	}
}

func (s *server) services(_ context.Context, q *servicesRequest) (*servicesReply, error) {
	return &servicesReply{s.directory.Services(q.Have, q.All)}, nil
}

func (s *server) members(context.Context, *membersRequest) (*membersReply, error) {
	return &membersReply{s.directory.Members()}, nil
}

func (s *server) resolve(_ context.Context, q *resolveRequest) (*resolveReply, error) {
	if s.resolver == nil {
		return &resolveReply{}, nil
	}
	v, a, known := s.resolver.Resolve(q.Key, q.Binding)
	return &resolveReply{Known: known, Verdict: v, Answer: a}, nil
}

// Client calls other daemons. It reuses connections and closes idle ones.
type Client struct {
	creds *credential.Store

	mu           sync.Mutex // guards the fields below
	conns        map[netip.AddrPort]*grpc.ClientConn
	refusedAddrs map[netip.AddrPort]bool // addresses that refused the last connection
}

// NewClient returns a client that uses creds for mutual TLS.
func NewClient(creds *credential.Store) *Client {
	return &Client{creds: creds, conns: make(map[netip.AddrPort]*grpc.ClientConn), refusedAddrs: make(map[netip.AddrPort]bool)}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, conn := range c.conns {
		_ = conn.Close() // fails only if it is closed already
		delete(c.conns, a)
	}
}

// Services fetches the services of which the daemon at a has a newer generation
// than have and, if all is set, also the services that have does not list.
func (c *Client) Services(ctx context.Context, a netip.AddrPort, have []control.Generation, all bool) ([]service.Service, error) {
	var reply servicesReply
	err := c.invoke(ctx, a, "Services", &servicesRequest{have, all}, &reply)
	return reply.Services, err
}

// Members fetches all members that the daemon at a knows.
func (c *Client) Members(ctx context.Context, a netip.AddrPort) ([]roster.Member, error) {
	var reply membersReply
	err := c.invoke(ctx, a, "Members", &membersRequest{}, &reply)
	return reply.Members, err
}

// Resolve asks the incarnation that a request is bound to for its outcome.
func (c *Client) Resolve(ctx context.Context, key string, b request.Binding) (Resolution, error) {
	var reply resolveReply
	err := c.invoke(ctx, b.Agent, "Resolve", &resolveRequest{key, b}, &reply)
	return Resolution(reply), err
}

// invoke calls a method of the daemon at a. After a failure it closes the connection,
// so that the next call dials again.
func (c *Client) invoke(ctx context.Context, a netip.AddrPort, method string, req, reply any) error {
	conn, err := c.conn(a)
	if err != nil {
		return &Error{method, KindCall, err}
	}
	err = conn.Invoke(ctx, "/"+serviceName+"/"+method, req, reply)
	if err == nil {
		return nil
	}
	c.closeConn(a, conn) // otherwise gRPC would keep reconnecting
	if c.refused(a) {
		return &Error{method, KindRefused, err}
	}
	return &Error{method, KindCall, err}
}

func (c *Client) closeConn(a netip.AddrPort, conn *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[a] == conn {
		delete(c.conns, a)
	}
	_ = conn.Close() // fails only if it is closed already
}

// refused reports whether the last attempt to connect to a was refused.
func (c *Client) refused(a netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusedAddrs[a]
}

// dial connects to address and records whether the connection was refused, since
// gRPC does not expose the cause in the error of a call.
func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	a, perr := netip.ParseAddrPort(address)
	if perr != nil {
		return conn, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if errors.Is(err, syscall.ECONNREFUSED) {
		c.refusedAddrs[a] = true
	} else {
		delete(c.refusedAddrs, a)
	}
	return conn, err
}

// conn returns the connection to the daemon at a, and creates it if there is none.
func (c *Client) conn(a netip.AddrPort) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[a]; conn != nil {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+a.String(),
		grpc.WithTransportCredentials(credentials.NewTLS(c.creds.ClientTLS())),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(codec{}), grpc.MaxCallRecvMsgSize(maxReceiveBytes)),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithContextDialer(c.dial),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnectBackoff, MinConnectTimeout: minConnectTimeout}),
	)
	if err != nil {
		return nil, err
	}
	c.conns[a] = conn
	return conn, nil
}
