// Package faultproxy is a TCP proxy on loopback that disturbs the connections that go through it, for soaks.
package faultproxy

import (
	"net"
	"sync"
	"time"
)

// Fault is what happens to the connections of a proxy.
type Fault int

// Faults of a proxy.
const (
	None    Fault = iota
	Refuse        // new connections are closed at once, and open ones are reset
	Silent        // bytes are swallowed both ways; nothing is closed
	MuteOut       // bytes of the target are swallowed, those to the target arrive
	Slow          // each piece of data is delayed
)

// slowBy is the delay of each piece of data under Slow.
const slowBy = 60 * time.Millisecond

// bufferBytes is the size of a piece of data.
const bufferBytes = 32 << 10

// Proxy forwards connections to one target.
type Proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	fault Fault
	conns map[net.Conn]struct{}
}

// Start listens on an address of loopback and forwards to the target.
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
		p.reset()
	}
}

// Reset resets the open connections once.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reset()
}

func (p *Proxy) reset() {
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxy) now() Fault {
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
	defer p.forget(client)
	if p.now() == Refuse {
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer p.forget(server)
	p.mu.Lock()
	p.conns[client], p.conns[server] = struct{}{}, struct{}{}
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { p.copy(server, client, MuteOut); done <- struct{}{} }()
	go func() { p.copy(client, server, None); done <- struct{}{} }()
	<-done
}

func (p *Proxy) forget(c net.Conn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_ = c.Close()
}

// copy forwards from src to dst. Data is swallowed under Silent, and under MuteOut in the direction that passes is not MuteOut.
func (p *Proxy) copy(dst, src net.Conn, passes Fault) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		switch f := p.now(); {
		case f == Silent || f == MuteOut && passes != MuteOut:
			continue
		case f == Slow:
			time.Sleep(slowBy)
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}
