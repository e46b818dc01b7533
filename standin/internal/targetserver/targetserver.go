// Package targetserver implements a stand-in target: an HTTP server that announces itself to the entry processes.
package targetserver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"flamingodrift.example/standin/internal/oracle"
)

const announceTimeout = 2 * time.Second

// Config describes a target.
type Config struct {
	Name    string
	Service string
	// IP is the address to listen on; the system chooses the port.
	IP          string
	Slots       int
	Connections int
	// EntryAddress returns the address of an entry process for the next announcement.
	EntryAddress     func() string
	Oracle           *oracle.Oracle
	AnnounceInterval time.Duration
}

// Target is a running target.
type Target struct {
	cfg         Config
	listener    net.Listener
	server      *http.Server
	client      *http.Client
	boot        string
	busy        atomic.Int64
	served      atomic.Int64
	leaving     atomic.Bool
	cancel      context.CancelFunc
	done        chan struct{}
	announceNow chan struct{}
}

// Start starts to serve requests and to announce the target.
func Start(cfg Config) (*Target, error) {
	listener, err := net.Listen("tcp", cfg.IP+":0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Target{
		cfg: cfg, listener: listener, client: &http.Client{Timeout: announceTimeout}, cancel: cancel,
		boot: strconv.FormatInt(time.Now().UnixNano(), 16), done: make(chan struct{}), announceNow: make(chan struct{}, 1),
	}
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve)}
	go func() { _ = t.server.Serve(listener) }()
	go t.announceLoop(ctx)
	return t, nil
}

// serve runs a request. /sleep/MS waits before the answer, /status/CODE answers with that status, and /short sends less
// than its Content-Length. Each answer echoes the method, path and body.
func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	busy := t.busy.Add(1)
	defer t.busy.Add(-1)
	t.served.Add(1)
	t.cfg.Oracle.RecordSlots(t.cfg.Name, int(busy), t.cfg.Slots)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.Method != http.MethodGet {
		t.cfg.Oracle.RecordExecution(r.Header.Get("Flamingo-Caller"), r.Header.Get("Idempotency-Key"))
	}
	var argument int
	status := http.StatusOK
	switch {
	case matchPath(r.URL.Path, "/sleep/%d", &argument):
		time.Sleep(time.Duration(argument) * time.Millisecond)
	case matchPath(r.URL.Path, "/status/%d", &argument):
		status = argument
	case r.URL.Path == "/short":
		w.Header().Set("Content-Length", "1000")
	}
	w.Header().Set("Standin-Target", t.cfg.Name)
	w.Header().Set("Standin-Caller", r.Header.Get("Flamingo-Caller"))
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.Path, body)
}

func matchPath(path, format string, argument *int) bool {
	n, err := fmt.Sscanf(path, format, argument)
	return err == nil && n == 1
}

func (t *Target) announceLoop(ctx context.Context) {
	defer close(t.done)
	ticker := time.NewTicker(t.cfg.AnnounceInterval)
	defer ticker.Stop()
	for {
		t.announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-t.announceNow:
		}
	}
}

func (t *Target) announce(ctx context.Context) {
	body, err := json.Marshal(map[string]any{
		"target": t.cfg.Name, "service": t.cfg.Service, "address": t.listener.Addr().String(), "slots": t.cfg.Slots,
		"connections": t.cfg.Connections, "busy": t.busy.Load(), "leaving": t.leaving.Load(), "boot": t.boot,
	})
	if err != nil {
		return
	}
	url := "http://" + t.cfg.EntryAddress() + "/platform/v1/targets/announce"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	if response, err := t.client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// Served returns the number of requests received.
func (t *Target) Served() int64 { return t.served.Load() }

// Address returns the address on which the target listens.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Leave announces at once that the target is leaving.
func (t *Target) Leave() {
	t.leaving.Store(true)
	select {
	case t.announceNow <- struct{}{}:
	default:
	}
}

// Shutdown announces that the target is leaving, continues to serve for the grace period, and then shuts down
// gracefully.
func (t *Target) Shutdown(grace time.Duration) error {
	t.Leave()
	time.Sleep(grace)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	err := t.server.Shutdown(ctx)
	t.cancel()
	<-t.done
	return err
}

// Kill stops the target at once and closes all connections.
func (t *Target) Kill() {
	t.cancel()
	if err := t.server.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		t.cfg.Oracle.RecordViolation("close target: " + err.Error())
	}
	<-t.done
}
