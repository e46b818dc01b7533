package soaker

import (
	"net"
	"net/http"
	"sync"
)

// connectionSet holds the open connections of a server.
type connectionSet struct {
	mu   sync.Mutex
	open map[net.Conn]bool
}

func newConnectionSet() *connectionSet { return &connectionSet{open: map[net.Conn]bool{}} }

// track is the ConnState hook of the server.
func (c *connectionSet) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.open[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	default:
	}
}

// closeAll closes all open connections.
func (c *connectionSet) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		_ = conn.Close()
	}
}
