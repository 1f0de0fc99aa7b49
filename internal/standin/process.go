package standin

import (
	"fmt"
	"net"
	"sync"
)

// BackendProcess is a stand-in backend server, on a loopback port that the kernel
// chooses, that can be killed and restarted. It is safe for concurrent use.
type BackendProcess struct {
	*Backend
	address string

	mu       sync.Mutex
	listener net.Listener
}

// StartBackend starts a backend server. The crash marker kills it.
func StartBackend(cfg BackendConfig) (*BackendProcess, error) {
	p := &BackendProcess{address: "127.0.0.1:0"}
	p.Backend = NewBackend(cfg, p.Kill)
	return p, p.Restart()
}

// Address returns the address, which stays the same across restarts.
func (p *BackendProcess) Address() string { return p.address }

// Restart accepts connections again.
func (p *BackendProcess) Restart() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return fmt.Errorf("start backend server: %w", err)
	}
	p.listener, p.address = listener, listener.Addr().String()
	go func() { _ = p.Serve(listener) }()
	return nil
}

// Kill refuses new connections and resets the open ones.
func (p *BackendProcess) Kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil {
		return
	}
	_ = p.listener.Close()
	p.listener = nil
	p.resetConnections()
}
