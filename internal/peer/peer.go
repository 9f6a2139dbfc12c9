// Package peer is the transport between entry hosts: JSON-RPC 2.0 over TCP with typed messages.
//
// A host sends requests on one outgoing connection to each peer and serves requests on the connections that peers opened.
// The first request of a connection is hello; a peer with another protocol version gets ErrVersion.
package peer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"samphirewell/internal/api"
)

// ProtocolVersion is the version of the messages between entry hosts.
const ProtocolVersion = 1

// Limits of the transport.
const (
	MaxMessageBytes    = 1 << 20               // longest JSON-RPC message, in bytes
	MaxConcurrent      = 4096                  // requests in progress per connection
	DefaultDeadline    = 1 * time.Second       // deadline of a call whose context has none
	writeTimeout       = 2 * time.Second       // longest time that one write may block; the connection of a peer that reads nothing is closed
	minBackoff         = 50 * time.Millisecond // first pause between two attempts to connect; it doubles with each failure
	maxBackoff         = 2 * time.Second       // longest pause between two attempts to connect
	idleLinkTimeout    = 60 * time.Second      // time without a call after which a connection is closed; hosts that work together call each other every few seconds
	sweepsPerTimeout   = 4                     // how often connections are checked within the idle timeout
	helloTimeout       = 5 * time.Second       // longest time from the opening of a connection to its hello
	maxHelloBytes      = 4 << 10               // longest message before hello; hello takes some hundred bytes
	shortMessageBytes  = 4 << 10               // longest message that is read without a deadline
	messageTimeout     = 5 * time.Second       // longest time in which a longer message arrives
	defaultConnections = 1024                  // open connections of a server without a limit of its own
	roomPollInterval   = 50 * time.Millisecond // interval at which a server at its limit checks again whether a connection may be closed
	minIdleTime        = 5 * time.Second       // shortest time without a request after which a connection may be closed in favour of a new one; working hosts call more often
	maxUnansweredCalls = 4                     // consecutive calls without a response after which the connection is closed and opened again
)

// Methods between entry hosts.
const (
	MethodHello        = "hello"
	MethodPing         = "ping"
	MethodKeyClaim     = "key.claim"
	MethodKeyFinish    = "key.finish"
	MethodKeyLookup    = "key.lookup"
	MethodKeyTombstone = "key.tombstone"
	MethodKeyBlock     = "key.block"  // requests that a member of the view refuses first attempts with a key
	MethodKeyBlocks    = "key.blocks" // returns the blocked keys that a member tracks
	MethodLeader       = "leader"     // returns whether a host leads
	MethodJobState     = "job.state"  // returns the state of a job from the leader
	MethodAdvise       = "advise"     // requests advice from the adviser on behalf of the leader
	MethodRelay        = "relay"      // calls the table service on behalf of a host that cannot reach it
)

// Codes of JSON-RPC errors of this protocol.
const (
	codeVersion = -32001 // the protocol versions differ
	codeNoHello = -32002 // hello is missing
	codeBusy    = -32003 // too many requests in progress
)

// Errors of the transport, wrapped by the errors of Call.
var (
	ErrVersion     = errors.New("peer speaks another protocol version")
	ErrNotSent     = errors.New("request was not sent")
	ErrRefused     = errors.Wrap(ErrNotSent, "no process listens at the address") // a case of ErrNotSent
	ErrUncertain   = errors.New("peer did not answer; the request may have taken effect")
	ErrRejected    = errors.New("peer answered with an error")
	ErrTooLarge    = errors.New("message exceeds the size limit")
	ErrUnknownPeer = errors.New("no address is known for the peer")
)

// Handler serves one request. The result is encoded as JSON; an error is sent as a JSON-RPC error.
type Handler func(ctx context.Context, from api.HostIdentity, params json.RawMessage) (any, error)

// Handle adapts a function with typed messages to a Handler.
func Handle[Req, Resp any](f func(ctx context.Context, from api.HostIdentity, req Req) (Resp, error)) Handler {
	return func(ctx context.Context, from api.HostIdentity, params json.RawMessage) (any, error) {
		var req Req
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return f(ctx, from, req)
	}
}

// Registry maps methods to handlers. It must not change after the server has started.
type Registry map[string]Handler

// Identity is the identity that the local process sends in hello.
type Identity struct {
	Domain string
	Host   api.HostIdentity
}

func (i Identity) hello() api.Hello {
	return api.Hello{ProtocolVersion: ProtocolVersion, Domain: i.Domain, Host: i.Host}
}
