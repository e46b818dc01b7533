package poller_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/entryd/internal/poller"

	"flamingodrift.example/core/wire"
)

// harness is a poller with a scripted leader.
type harness struct {
	poller *poller.Poller
	calls  []*wire.WorkerReports
	answer func(*wire.WorkerReports) *wire.WorkerOrders
}

func (h *harness) Call(_ context.Context, request *wire.Request) (*wire.Reply, error) {
	h.calls = append(h.calls, request.GetWorkerReports())
	orders := h.answer(request.GetWorkerReports())
	if orders == nil {
		return nil, errors.New("no leader")
	}
	return &wire.Reply{Body: &wire.Reply_WorkerOrders{WorkerOrders: orders}}, nil
}

func newHarness() *harness {
	h := &harness{answer: acceptAll}
	h.poller = poller.New(poller.Config{Leader: h, Entry: "e1", BatchWindow: time.Millisecond, Timeout: 10 * time.Second})
	return h
}

// acceptAll answers full reports with handle 1 and knows all renewals.
func acceptAll(message *wire.WorkerReports) *wire.WorkerOrders {
	orders := &wire.WorkerOrders{Session: 3, LeaseMs: 10_000}
	for _, report := range message.GetReports() {
		orders.Workers = append(orders.Workers, &wire.WorkerOrder{
			Worker: report.GetWorker(), Poll: report.GetPoll(), LeaseMs: 10_000, Session: 3, Handle: 1,
		})
	}
	return orders
}

func (h *harness) poll(number, session, usage int, phase string) (status int, body string) {
	text := fmt.Sprintf(`{"worker":"w1","boot":"1","poll":%d,"session":%d,"rack":"r","failure_domain":"f",
		"tasks":[{"task":"a/0","attempt":1,"phase":%q,"usage":{"processors":%d}}]}`, number, session, phase, usage)
	recorder := httptest.NewRecorder()
	h.poller.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/", strings.NewReader(text)))
	return recorder.Code, recorder.Body.String()
}

// Guards against sending a full report with every poll, and against leaving it out although something other than the
// usage or the leader has changed. The leader itself asks for outdated usage: see TestOldUsageIsAskedFor in package
// lessor of controld.
func TestUnchangedReportsAreRenewed(t *testing.T) {
	h := newHarness()
	cases := []struct {
		name           string
		session, usage int
		phase          string
		full           bool
	}{
		{"first poll", 0, 1, "running", true},
		{"same with the leader's session", 3, 1, "running", false},
		{"other usage", 3, 2, "running", false},
		{"a task ended", 3, 2, "failed", true},
		{"same again", 3, 2, "failed", false},
		{"session of another leader", 2, 2, "failed", true},
	}
	for i, c := range cases {
		status, body := h.poll(i+1, c.session, c.usage, c.phase)
		require.Equal(t, http.StatusOK, status, body)
		require.Contains(t, body, `"lease_ms":10000`, c.name)
		require.Contains(t, body, fmt.Sprintf(`"poll":%d,`, i+1), c.name)
		require.Len(t, h.calls, i+1, c.name)
		require.Equal(t, c.full, len(h.calls[i].GetReports()) == 1, c.name)
		require.Equal(t, !c.full, len(h.calls[i].GetRenewedHandles()) == 1, c.name)
	}
}

// Guards against leaving a worker without an answer, or giving it a lease that was not granted, when its renewal is
// unknown or refused, has orders, or gets no reply.
func TestAnswerToARenewal(t *testing.T) {
	cases := []struct {
		name   string
		answer func(*wire.WorkerReports) *wire.WorkerOrders
		status int
		body   string
	}{
		{"unknown: sent in full", func(message *wire.WorkerReports) *wire.WorkerOrders {
			orders := acceptAll(message)
			orders.UnknownHandles = message.GetRenewedHandles()
			return orders
		}, http.StatusOK, `"lease_ms":10000`},
		{"refused", func(*wire.WorkerReports) *wire.WorkerOrders {
			return &wire.WorkerOrders{Session: 3, LeaseMs: 10_000, Workers: []*wire.WorkerOrder{{
				Worker: "w1", Poll: 2, Refused: "stale_poll",
			}}}
		}, http.StatusOK, `"lease_ms":0,"session":0,"refused":"stale_poll"`},
		{"orders", func(*wire.WorkerReports) *wire.WorkerOrders {
			return &wire.WorkerOrders{Session: 3, LeaseMs: 10_000, Workers: []*wire.WorkerOrder{{
				Worker: "w1", Poll: 2, LeaseMs: 10_000, Orders: []*wire.Order{{Kind: wire.OrderKind_ORDER_KIND_STOP, Task: "a/0"}},
			}}}
		}, http.StatusOK, `"kind":"stop"`},
		{"order for another poll", func(*wire.WorkerReports) *wire.WorkerOrders {
			return &wire.WorkerOrders{Session: 3, Workers: []*wire.WorkerOrder{{Worker: "w1", Poll: 1, LeaseMs: 10_000}}}
		}, http.StatusServiceUnavailable, "no leader"},
		{"reply of a leader that was not asked", func(*wire.WorkerReports) *wire.WorkerOrders {
			return &wire.WorkerOrders{Session: 4, LeaseMs: 10_000}
		}, http.StatusServiceUnavailable, "no leader"},
		{"no reply", func(*wire.WorkerReports) *wire.WorkerOrders { return nil }, http.StatusServiceUnavailable, "no leader"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness()
			h.poll(1, 0, 1, "running")
			h.answer = c.answer
			status, body := h.poll(2, 3, 1, "running")
			require.Len(t, h.calls[1].GetRenewedHandles(), 1)
			require.Equal(t, c.status, status)
			require.Contains(t, body, c.body)
		})
	}
}
