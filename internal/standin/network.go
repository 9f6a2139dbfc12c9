package standin

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"

	"samphirewell/internal/platform"
)

// PlatformDomain is the domain under which the address of the platform is registered with a Network.
const PlatformDomain = "platform"

// ErrCut means that the link between two domains is cut.
var ErrCut = errors.New("network is cut")

// ErrUnregistered means that an address was dialled that is not registered with the Network.
var ErrUnregistered = errors.New("address is not registered with the network")

// ConnServer is a server that can close one of its connections. Platform, Executor and Worker implement it.
type ConnServer interface {
	Addr() string
	// CloseConn closes the connection from the remote address, also if it is accepted shortly after the call.
	CloseConn(remote string)
	// OnConnClosed sets a function that is called with the remote address of each connection that was closed.
	OnConnClosed(f func(remote string))
}

// link is a pair of domains in lexical order.
type link struct{ a, b string }

func linkBetween(a, b string) link {
	if a > b {
		a, b = b, a
	}
	return link{a, b}
}

// linkCut is the state of a link that is cut.
type linkCut struct {
	silent bool          // dials wait instead of failing with ErrCut
	healed chan struct{} // closed when the link is healed or cut again
}

// connKey identifies a connection by the addresses of the dialling (local) and the accepting (remote) side.
type connKey struct{ local, remote string }

// openConn is an open connection that was dialled through the network.
type openConn struct {
	link      link
	breakConn func()
}

// Network simulates the network between failure domains and the platform inside one process. The link between two domains can be cut and healed.
type Network struct {
	mu      sync.Mutex
	domains map[string]string     // by address
	servers map[string]ConnServer // by address
	cuts    map[link]*linkCut
	conns   map[connKey]openConn
}

// NewNetwork returns a network without registered addresses.
func NewNetwork() *Network {
	return &Network{
		domains: map[string]string{}, servers: map[string]ConnServer{}, cuts: map[link]*linkCut{}, conns: map[connKey]openConn{},
	}
}

// Register assigns an address (ip:port) to a domain. A later registration of the same address replaces it.
func (n *Network) Register(domain, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.domains[address] = domain
}

// RegisterServer assigns the address of a server to a domain, and lets RawDialer dial it.
func (n *Network) RegisterServer(domain string, s ConnServer) {
	address := s.Addr()
	n.Register(domain, address)
	n.mu.Lock()
	n.servers[address] = s
	n.mu.Unlock()
	s.OnConnClosed(func(remote string) { n.untrack(connKey{remote, address}) })
}

// Cut makes new dials between two domains fail and closes the open connections between them.
func (n *Network) Cut(a, b string) { n.cutLink(a, b, false) }

// CutSilently is like Cut, but new dials wait until their context ends or until Heal, as if packets were dropped without an error.
func (n *Network) CutSilently(a, b string) { n.cutLink(a, b, true) }

func (n *Network) cutLink(a, b string, silent bool) {
	l := linkBetween(a, b)
	n.mu.Lock()
	if old := n.cuts[l]; old != nil {
		close(old.healed) // waiting dials check the new state
	}
	n.cuts[l] = &linkCut{silent: silent, healed: make(chan struct{})}
	var broken []openConn
	for key, c := range n.conns {
		if c.link == l {
			broken = append(broken, c)
			delete(n.conns, key)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		c.breakConn()
	}
}

// Heal restores the link between two domains.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if old := n.cuts[linkBetween(a, b)]; old != nil {
		close(old.healed)
		delete(n.cuts, linkBetween(a, b))
	}
}

// IsolateDomain cuts the links of a domain to the platform and to all other domains with registered addresses.
func (n *Network) IsolateDomain(domain string) {
	for _, other := range n.otherDomains(domain) {
		n.Cut(domain, other)
	}
}

// HealDomain restores all links of a domain.
func (n *Network) HealDomain(domain string) {
	for _, other := range n.otherDomains(domain) {
		n.Heal(domain, other)
	}
}

func (n *Network) otherDomains(domain string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	seen := map[string]bool{domain: true}
	var others []string
	for _, d := range n.domains {
		if !seen[d] {
			seen[d] = true
			others = append(others, d)
		}
	}
	return others
}

// Dialer returns a dial function for processes in the domain from. It fails with ErrCut or ErrUnregistered (both wrapped), with the error of the
// context or with that of the dial.
func (n *Network) Dialer(from string) platform.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, l, err := n.dial(ctx, from, network, address)
		if err != nil {
			return nil, err
		}
		key := connKey{conn.LocalAddr().String(), conn.RemoteAddr().String()}
		tracked := &trackedConn{TCPConn: conn, onClose: func() { n.untrack(key) }}
		return n.track(tracked, key, openConn{l, func() { _ = conn.Close() }})
	}
}

// RawDialer is like Dialer, but its connections are *net.TCPConn, as an nbhttp client requires. It dials only servers that were registered with
// RegisterServer, because a cut closes these connections on the side of the server.
func (n *Network) RawDialer(from string) platform.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mu.Lock()
		server := n.servers[address]
		n.mu.Unlock()
		if server == nil {
			return nil, errors.Wrap(ErrUnregistered, address)
		}
		conn, l, err := n.dial(ctx, from, network, address)
		if err != nil {
			return nil, err
		}
		key := connKey{conn.LocalAddr().String(), address}
		return n.track(conn, key, openConn{l, func() { server.CloseConn(key.local) }})
	}
}

func (n *Network) dial(ctx context.Context, from, network, address string) (*net.TCPConn, link, error) {
	l, err := n.awaitLink(ctx, from, address)
	if err != nil {
		return nil, l, err
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, l, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		_ = conn.Close()
		return nil, l, errors.Errorf("network %s is not TCP", network)
	}
	return tcp, l, nil
}

// awaitLink returns the link from a domain to an address. It fails if the link is cut, and waits while it is cut silently.
func (n *Network) awaitLink(ctx context.Context, from, address string) (link, error) {
	for {
		n.mu.Lock()
		domain, ok := n.domains[address]
		l := linkBetween(from, domain)
		c := n.cuts[l]
		n.mu.Unlock()
		switch {
		case !ok:
			return l, errors.Wrap(ErrUnregistered, address)
		case c == nil:
			return l, nil
		case !c.silent:
			return l, errors.Wrapf(ErrCut, "%s to %s", from, domain)
		}
		select {
		case <-c.healed:
		case <-ctx.Done():
			return l, ctx.Err()
		}
	}
}

// track records an open connection, or closes it if the link was cut during the dial.
func (n *Network) track(conn net.Conn, key connKey, open openConn) (net.Conn, error) {
	n.mu.Lock()
	_, isCut := n.cuts[open.link]
	if !isCut {
		n.conns[key] = open
	}
	n.mu.Unlock()
	if isCut {
		_ = conn.Close()
		return nil, errors.Wrapf(ErrCut, "%s to %s", open.link.a, open.link.b)
	}
	return conn, nil
}

func (n *Network) untrack(key connKey) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, key)
}

// trackedConn calls onClose when its owner closes it.
type trackedConn struct {
	*net.TCPConn
	onClose func()
}

// Close removes the connection from the network and closes it.
func (c *trackedConn) Close() error {
	c.onClose()
	return c.TCPConn.Close()
}
