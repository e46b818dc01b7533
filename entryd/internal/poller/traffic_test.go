package poller_test

import (
	"fmt"
	"io"
	"math"
	"net"
	"sync/atomic"
	"testing"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"flamingodrift.example/core/codec"
	"flamingodrift.example/core/fingerprint"
	"flamingodrift.example/core/wire"
)

// countingConn counts the bytes that are written; with both ends of a pipe wrapped, those of both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Write(data []byte) (int, error) {
	c.bytes.Add(int64(len(data)))
	return c.Conn.Write(data)
}

// exchangeBytes returns the bytes of one request and its reply, in both directions, on a session that is already open.
// The framing of codec and yamux counts; TCP and IP headers do not.
func exchangeBytes(t *testing.T, request *wire.Request, reply *wire.Reply) int64 {
	t.Helper()
	bytes := &atomic.Int64{}
	a, b := net.Pipe()
	config := yamux.DefaultConfig()
	config.EnableKeepAlive, config.LogOutput = false, io.Discard
	client, err := yamux.Client(countingConn{a, bytes}, config)
	require.NoError(t, err)
	server, err := yamux.Server(countingConn{b, bytes}, config)
	require.NoError(t, err)
	requests := codec.New(func() *wire.Request { return &wire.Request{} })
	replies := codec.New(func() *wire.Reply { return &wire.Reply{} })
	served := make(chan error, 1)
	go func() {
		stream, err := server.AcceptStream()
		if err == nil {
			if _, err = requests.Read(stream); err == nil {
				err = replies.Write(stream, reply)
			}
			_, _ = io.Copy(io.Discard, stream)
			_ = stream.Close()
		}
		served <- err
	}()
	stream, err := client.OpenStream()
	require.NoError(t, err)
	require.NoError(t, requests.Write(stream, request))
	got, err := replies.Read(stream)
	require.NoError(t, err)
	require.True(t, proto.Equal(reply, got))
	require.NoError(t, stream.Close())
	require.NoError(t, <-served)
	total := bytes.Load()
	_ = client.Close()
	_ = server.Close()
	return total
}

const (
	trafficEntries = 8
	tasksPerWorker = 9
	boot           = "0018a3f2c4d5e6f7-1234"
)

func workerReport(i int) *wire.WorkerReport {
	r := &wire.WorkerReport{
		Worker: fmt.Sprintf("worker-%03d", i), Boot: boot, Poll: 100_000, Session: 12, Rack: fmt.Sprintf("rack-%02d", i/8),
		FailureDomain: "khomas-a", Capacity: &wire.Resources{CpuMilli: 32_000, MemoryMb: 128_000},
	}
	for task := range tasksPerWorker {
		r.Tasks = append(r.Tasks, &wire.TaskStatus{
			Task: fmt.Sprintf("month-settlement@2026-12/%d", task), Attempt: 100_000, Phase: wire.TaskPhase_TASK_PHASE_RUNNING,
			Usage: &wire.Resources{CpuMilli: 2_500, MemoryMb: 8_000},
		})
	}
	return r
}

// pollExchange returns the request and reply for the polls of a number of unchanged workers, in full or as renewals.
func pollExchange(t *testing.T, polls int, renewed bool) (*wire.Request, *wire.Reply) {
	t.Helper()
	reports := &wire.WorkerReports{Entry: "entry-3"}
	orders := &wire.WorkerOrders{Session: 12, LeaseMs: 10_000}
	for i := range polls {
		report := workerReport(i)
		if renewed {
			hash, err := fingerprint.Report(report)
			require.NoError(t, err)
			reports.Session = 12
			reports.RenewedHandles = append(reports.RenewedHandles, uint32(200+i))
			reports.RenewedPolls = append(reports.RenewedPolls, report.GetPoll())
			reports.RenewedPrints = append(reports.RenewedPrints, hash)
			continue
		}
		reports.Reports = append(reports.Reports, report)
		orders.Workers = append(orders.Workers, &wire.WorkerOrder{
			Worker: report.GetWorker(), Poll: report.GetPoll(), LeaseMs: 10_000, Session: 12, Handle: uint32(200 + i),
		})
	}
	return &wire.Request{Body: &wire.Request_WorkerReports{WorkerReports: reports}},
		&wire.Reply{Body: &wire.Reply_WorkerOrders{WorkerOrders: orders}}
}

// beatExchange returns the request and reply of a heartbeat in steady state, for a number of targets in the cell.
func beatExchange(targets int) (*wire.Request, *wire.Reply) {
	b := &wire.BeatRequest{
		Entry: "entry-3", Boot: boot, Address: "10.20.30.43:7300", FailureDomain: "khomas-a", ConfigRevision: 1_500,
		OwnershipVersion: 12<<32 | 900, OwnedUnchanged: true, Session: 12, StampMs: 3_000_000_000,
		Loads: []*wire.ServiceLoad{{Service: "chairbook", FreeSlots: 30}},
	}
	targetsPerEntry := (targets + trafficEntries - 1) / trafficEntries
	for i := range targetsPerEntry {
		b.Renewed = append(b.Renewed, fmt.Sprintf("chairbook-%03d", i+targetsPerEntry))
	}
	r := &wire.BeatReply{
		ConfigRevision: 1_500, LeaseMs: 3_000, OwnershipVersion: 12<<32 | 900, Session: 12, StampMs: 3_000_000_000,
	}
	for i := range trafficEntries - 1 {
		r.Peers = append(r.Peers, &wire.PeerLoad{
			Entry: fmt.Sprintf("entry-%d", i), Address: fmt.Sprintf("10.20.30.4%d:7300", i),
			Loads: []*wire.ServiceLoad{{Service: "chairbook", FreeSlots: 30}},
		})
	}
	return &wire.Request{Body: &wire.Request_Beat{Beat: b}}, &wire.Reply{Body: &wire.Reply_Beat{Beat: r}}
}

// batchesPerSecond returns the expected number of non-empty batches per second, for polls that arrive at random
// (polls is their number per second).
func batchesPerSecond(polls float64, windowMs float64) float64 {
	slots := 1_000 / windowMs
	return slots * (1 - math.Exp(-polls/slots))
}

// Guards against growing messages: a renewal must cost less than a tenth of a full report. With -v it prints the tables
// of docs/routing-measurements.md.
func TestMessageSizes(t *testing.T) {
	for _, targets := range []int{10, 50, 160} {
		bytes := exchangeBytes(t, requestOf(beatExchange(targets)), replyOf(beatExchange(targets)))
		t.Logf("| %d targets | %d bytes per beat |", targets, bytes)
	}
	for _, workers := range []int{10, 50, 160, 320} {
		polls := max(workers/trafficEntries, 1)
		full := exchangeBytes(t, requestOf(pollExchange(t, polls, false)), replyOf(pollExchange(t, polls, false)))
		renewed := exchangeBytes(t, requestOf(pollExchange(t, polls, true)), replyOf(pollExchange(t, polls, true)))
		one := exchangeBytes(t, requestOf(pollExchange(t, 1, true)), replyOf(pollExchange(t, 1, true)))
		oneFull := exchangeBytes(t, requestOf(pollExchange(t, 1, false)), replyOf(pollExchange(t, 1, false)))
		perPoll, perFull := float64(renewed-one)/math.Max(float64(polls-1), 1),
			float64(full-oneFull)/math.Max(float64(polls-1), 1)
		rate := func(windowMs, each, fixed float64) float64 {
			return batchesPerSecond(float64(polls), windowMs)*fixed + float64(polls)*each
		}
		t.Logf("| %d workers | %d polls in one batch | %d bytes full | %d bytes renewed | %.0f B/s full, 50 ms | %.0f B/s renewed, 50 ms | %.0f B/s renewed, 250 ms |",
			workers, polls, full, renewed, rate(50, perFull, float64(oneFull)-perFull), rate(50, perPoll, float64(one)-perPoll),
			rate(250, perPoll, float64(one)-perPoll))
		if polls > 1 {
			require.Less(t, perPoll, perFull/10)
		}
	}
}

func requestOf(request *wire.Request, _ *wire.Reply) *wire.Request { return request }
func replyOf(_ *wire.Request, reply *wire.Reply) *wire.Reply       { return reply }
