package messenger

import (
	"errors"
	"time"

	"github.com/hashicorp/yamux"

	"flamingodrift.example/core/refusalrecorder"
	"flamingodrift.example/core/wire"
)

const (
	// listenerName is the name of the listener in metrics and logs.
	listenerName = "session"
	// freeFrameBytes is the size up to which a request needs no reservation; the limit of streams bounds their memory.
	freeFrameBytes = 4 << 10
	// largeFrameBytes is the size above which the receive buffer of a stream is given back after the request.
	largeFrameBytes = 64 << 10
	// A request waits for the budget for frameWait at most. The peer is not told why its stream is closed, and sends the
	// request again.
	frameWait         = 2 * time.Second
	frameWaitInterval = 20 * time.Millisecond
)

// reserveFrame reserves the memory of a request before it is allocated: its encoded form and the decoded one. It reserves the whole size at once: requests that
// each hold a part and wait for the rest could block each other.
func (m *Messenger) reserveFrame(size int) bool {
	if m.cfg.FrameBudget == nil {
		return true
	}
	bytes := int64(2 * size)
	for end := time.Now().Add(frameWait); !m.cfg.FrameBudget.Reserve(bytes, bytes); {
		if time.Now().After(end) || m.ctx.Err() != nil {
			return false
		}
		time.Sleep(frameWaitInterval)
	}
	return true
}

// releaseFrame gives back one of the two forms of a request.
func (m *Messenger) releaseFrame(size int) {
	if m.cfg.FrameBudget != nil {
		m.cfg.FrameBudget.Release(int64(size))
	}
}

// readLarge reads a request within FrameTimeout.
func (m *Messenger) readLarge(stream *yamux.Stream, size int) (*wire.Request, error) {
	if m.cfg.FrameTimeout > 0 {
		_ = stream.SetReadDeadline(time.Now().Add(m.cfg.FrameTimeout))
		defer func() { _ = stream.SetReadDeadline(time.Time{}) }()
	}
	request, err := requests.ReadBody(stream, size)
	if errors.Is(err, yamux.ErrTimeout) {
		m.cfg.Recorder.Refused(refusalrecorder.FrameTimeout, listenerName)
	}
	if size > largeFrameBytes {
		stream.Shrink()
	}
	return request, err
}
