// Package crowd starts the programs with lowered limits and lets a small number of uncontrolled clients connect to each
// of their listeners.
package crowd

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"
)

const (
	// jobBytes is the largest job, and reportBytes and configBytes are the sizes of reports and configurations that are
	// legal.
	jobBytes    = 262_144
	reportBytes = 1 << 20
	configBytes = 8 << 20
	// overBytes is what a client sends of a body far over the limit.
	overBytes = 8 << 20
	// sendTimeout ends a client that is not read from; its connection stays open.
	sendTimeout = 3 * time.Second
	// settleTime lets the process handle what the clients have sent last.
	settleTime = time.Second
)

// payload is what all bodies consist of; it is the start of a JSON text.
var payload = append([]byte(`{"spec":"`), bytes.Repeat([]byte{'x'}, 16<<20)...)

// send writes what one client sends. Errors are expected: the process may close the connection.
type send func(conn net.Conn, listener string)

// crowdCase is a number of equal clients at one listener, and the bounds of the process that serves it.
type crowdCase struct {
	name     string
	program  string
	listener string
	clients  int
	send     send
	// memoryMB and descriptors are the bounds.
	memoryMB, descriptors int
}

func head(method, path, rest string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n%s\r\n", method, path, queueHost, operatorToken, rest)
}

// announced sends a body with its size announced, in pieces, and stops after sent bytes.
func announced(method, path string, size, sent, piece int) send {
	return func(conn net.Conn, _ string) {
		_, err := io.WriteString(conn, head(method, path, fmt.Sprintf("Content-Length: %d\r\n", size)))
		for at := 0; at < sent && err == nil; at += piece {
			_, err = conn.Write(payload[at:min(at+piece, sent)])
		}
	}
}

// chunked sends a body in chunks and stops after sent bytes, without the last chunk.
func chunked(method, path string, sent, chunk int) send {
	return func(conn net.Conn, _ string) {
		var text bytes.Buffer
		text.WriteString(head(method, path, "Transfer-Encoding: chunked\r\n"))
		for at := 0; at < sent; at += chunk {
			data := payload[at:min(at+chunk, sent)]
			fmt.Fprintf(&text, "%x\r\n%s\r\n", len(data), data)
			if text.Len() > 32<<10 {
				if _, err := conn.Write(text.Bytes()); err != nil {
					return
				}
				text.Reset()
			}
		}
		_, _ = conn.Write(text.Bytes())
	}
}

func silent(net.Conn, string) {}

// endlessHeaders sends headers that never end.
func endlessHeaders(conn net.Conn, _ string) {
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: crowd\r\n")
	for i := 0; i < 30 && err == nil; i++ {
		_, err = fmt.Fprintf(conn, "Field-%d: %s\r\n", i, strings.Repeat("x", 200))
		time.Sleep(10 * time.Millisecond)
	}
}

// unread sends requests and never reads a response.
func unread(path string) send {
	request := []byte(head("GET", path, ""))
	return func(conn net.Conn, _ string) {
		_ = conn.(*net.TCPConn).SetReadBuffer(4096)
		for range 20_000 {
			if _, err := conn.Write(request); err != nil {
				return
			}
		}
	}
}

// beforeToken announces a token and stops one byte short of its end.
func beforeToken(conn net.Conn, _ string) {
	_, _ = conn.Write(append([]byte{255}, bytes.Repeat([]byte{'x'}, 254)...))
}

// largeFrames sends frames of nearly 9 MiB on several streams of a session and stops one byte short of the end of each.
func largeFrames(conn net.Conn, _ string) {
	const size, streams = 9<<20 - 16, 4
	_, _ = conn.Write(append([]byte{byte(len(cellToken))}, cellToken...))
	config := yamux.DefaultConfig()
	config.LogOutput, config.EnableKeepAlive, config.ConnectionWriteTimeout = io.Discard, false, sendTimeout
	session, err := yamux.Client(conn, config)
	if err != nil {
		return
	}
	frame := binary.BigEndian.AppendUint32(nil, size)
	frame = append(frame, payload[:size-1]...)
	var group sync.WaitGroup
	for range streams {
		group.Go(func() {
			stream, err := session.OpenStream()
			if err != nil {
				return
			}
			_ = stream.SetWriteDeadline(time.Now().Add(sendTimeout))
			_, _ = stream.Write(frame)
		})
	}
	group.Wait()
}

var cases = []crowdCase{
	{"whole bodies", "frontd", "front", 240, announced("POST", "/jobs/x", jobBytes, jobBytes-1, jobBytes), 64, 160},
	{"bodies in pieces", "frontd", "front", 240, announced("POST", "/jobs/x", jobBytes, jobBytes-1, 4096), 64, 160},
	{"large chunks", "frontd", "front", 240, chunked("POST", "/jobs/x", jobBytes-1, 64<<10), 64, 160},
	{"small chunks", "frontd", "front", 240, chunked("POST", "/jobs/x", jobBytes-1, 16), 64, 160},
	{"announced far over the limit", "frontd", "front", 240, announced("POST", "/jobs/x", 1<<30, overBytes, 64<<10), 64, 160},
	{"sent far over the limit", "frontd", "front", 240, chunked("POST", "/jobs/x", overBytes, 64<<10), 64, 160},
	{"silent", "frontd", "front", 320, silent, 64, 160},
	{"endless headers", "frontd", "front", 320, endlessHeaders, 64, 160},
	{"unread responses", "frontd", "front", 240, unread("/jobs/none"), 64, 160},
	{"bodies", "frontd", "front ready", 160, chunked("POST", "/", overBytes, 64<<10), 64, 140},
	{"silent", "frontd", "front ready", 160, silent, 64, 140},
	{"operators' bodies", "frontd", "front metrics", 32, chunked("POST", "/operator/v1/sheet", overBytes-1, 64<<10), 64, 140},
	{"unread responses", "frontd", "front metrics", 160, unread("/metrics"), 64, 140},
	{"before the token", "frontd", "front session", 320, beforeToken, 64, 160},
	{"large frames", "frontd", "front session", 8, largeFrames, 64, 160},

	{"whole configurations", "controld", "control", 32, announced("PUT", "/-/config", configBytes, configBytes-1, configBytes), 150, 160},
	{"configurations in pieces", "controld", "control", 32, announced("PUT", "/-/config", configBytes, configBytes-1, 16<<10), 150, 160},
	{"configurations in chunks", "controld", "control", 32, chunked("PUT", "/-/config", configBytes-1, 64<<10), 150, 160},
	{"announced far over the limit", "controld", "control", 64, announced("PUT", "/-/config", 1<<30, overBytes, 64<<10), 150, 160},
	{"reports", "controld", "control", 160, announced("PUT", "/-/instances/x", reportBytes, reportBytes-1, reportBytes), 150, 160},
	{"reports in small chunks", "controld", "control", 160, chunked("PUT", "/-/instances/x", reportBytes-1, 64), 150, 160},
	{"silent", "controld", "control", 320, silent, 150, 160},
	{"endless headers", "controld", "control", 320, endlessHeaders, 150, 160},
	{"unread configurations", "controld", "control", 64, unread("/-/config"), 150, 160},
	{"unread random configurations", "controld", "control", 64, unread("/-/config"), 150, 160},
	{"silent", "controld", "control health", 160, silent, 150, 140},
	{"endless headers", "controld", "control health", 160, endlessHeaders, 150, 140},
	{"unread responses", "controld", "control health", 160, unread("/metrics"), 150, 140},
	{"before the token", "controld", "control session", 320, beforeToken, 150, 160},
	{"large frames", "controld", "control session", 12, largeFrames, 150, 160},

	{"operators' bodies", "entryd", "entry", 32, chunked("POST", "/operator/v1/sheet", overBytes-1, 64<<10), 90, 160},
	{"callers' bodies", "entryd", "entry", 240, announced("POST", "/call/none/x", reportBytes, reportBytes-1, reportBytes), 90, 160},
	{"polls", "entryd", "entry", 240, announced("POST", "/platform/v1/workers/poll", jobBytes, jobBytes-1, jobBytes), 90, 160},
	{"silent", "entryd", "entry", 320, silent, 90, 160},
	{"endless headers", "entryd", "entry", 320, endlessHeaders, 90, 160},
	{"unread responses", "entryd", "entry", 240, unread("/metrics"), 90, 160},
	{"before the token", "entryd", "entry session", 320, beforeToken, 90, 160},
	{"large frames", "entryd", "entry session", 8, largeFrames, 90, 160},
}

// TestCrowd guards against clients that make a process exceed its host's memory or descriptors, exit, or stop answering
// ordinary requests. Each case starts the programs anew.
func TestCrowd(t *testing.T) {
	if _, err := os.Stat(programsFolder + "/controld"); err != nil {
		t.Fatal("the programs are missing; run make build")
	}
	for _, c := range cases {
		t.Run(c.listener+"/"+c.name, func(t *testing.T) { play(t, c) })
	}
}

func play(t *testing.T, c crowdCase) {
	began := time.Now()
	served := startCell(t, limits)
	started := time.Now()
	switch c.name {
	case "unread configurations":
		served.configure(t, 2, 4<<20)
	case "unread random configurations":
		served.answered(t, "control", http.MethodPut, "/-/config", configuration(t, 2, 1, 4<<20))
	}
	p := served.processes[c.program]
	var group sync.WaitGroup
	for range c.clients {
		conn, err := net.DialTimeout("tcp", served.addresses[c.listener], sendTimeout)
		if err != nil {
			continue // refused, which is allowed
		}
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(sendTimeout))
		group.Go(func() { c.send(conn, c.listener) })
	}
	sent := make(chan struct{})
	go func() {
		group.Wait()
		time.Sleep(settleTime)
		close(sent)
	}()
	descriptors := 0
	for waiting := true; waiting; {
		select {
		case <-sent:
			waiting = false
		case <-time.After(10 * time.Millisecond):
			descriptors = max(descriptors, p.descriptors(t))
		}
	}
	memory := p.peakMB(t)
	t.Logf("resident at most %d MiB (bound %d), open descriptors at most %d (bound %d)", memory, c.memoryMB, descriptors, c.descriptors)
	require.True(t, p.alive())
	require.LessOrEqual(t, memory, c.memoryMB, "resident memory in MiB")
	require.LessOrEqual(t, descriptors, c.descriptors, "open descriptors")
	crowded := time.Now()
	served.ordinary(t, c.listener)
	t.Logf("started after %v, crowd %v, ordinary request %v", started.Sub(began), crowded.Sub(started), time.Since(crowded))
	require.True(t, p.alive())
}
