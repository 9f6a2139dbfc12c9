// Package faultproxy is a TCP proxy on loopback that injects faults into the connections that it forwards, for soak tests.
package faultproxy

import (
	"net"
	"sync"
	"time"
)

// Fault is a fault that a proxy injects into its connections.
type Fault int

// Faults of a proxy.
const (
	None           Fault = iota
	Refuse               // new connections are closed immediately, and open ones are reset
	DropAll              // data is dropped in both directions; connections stay open
	DropFromTarget       // data from the target is dropped, data to the target is forwarded
	Slow                 // each chunk of data is delayed
)

// slowDelay is the delay of each chunk of data under Slow.
const slowDelay = 60 * time.Millisecond

// bufferSize is the largest size of a chunk of data, in bytes.
const bufferSize = 32 << 10

// Proxy forwards connections to one target.
type Proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	fault Fault
	conns map[net.Conn]struct{}
}

// Start starts a proxy that listens on a loopback address and forwards to the target.
func Start(address, target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: ln, conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

// Addr returns the address of the proxy.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Set sets the fault of all connections. Refuse resets the open ones.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if f == Refuse {
		p.resetConns()
	}
}

// Reset resets the open connections once.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetConns()
}

func (p *Proxy) resetConns() {
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxy) currentFault() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *Proxy) serve(client net.Conn) {
	defer p.closeConn(client)
	if p.currentFault() == Refuse {
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer p.closeConn(server)
	p.mu.Lock()
	p.conns[client], p.conns[server] = struct{}{}, struct{}{}
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { p.copy(server, client, DropFromTarget); done <- struct{}{} }()
	go func() { p.copy(client, server, None); done <- struct{}{} }()
	<-done
}

func (p *Proxy) closeConn(c net.Conn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_ = c.Close()
}

// copy forwards data from src to dst until one of them fails. It drops the data under DropAll, and under DropFromTarget unless exempt is
// DropFromTarget. exempt is the fault that does not affect this direction.
func (p *Proxy) copy(dst, src net.Conn, exempt Fault) {
	buf := make([]byte, bufferSize)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		switch f := p.currentFault(); {
		case f == DropAll || f == DropFromTarget && exempt != DropFromTarget:
			continue
		case f == Slow:
			time.Sleep(slowDelay)
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}
