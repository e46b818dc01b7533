package crowd

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// surgeTimeout bounds the tests; they check no times.
const surgeTimeout = 60 * time.Second

// refusals returns the metrics of a listener that count refusals at limits; empty if there was none.
func (c *cell) refusals(t *testing.T, listener string) string {
	response, err := http.Get("http://" + c.addresses[listener] + "/metrics")
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	var lines []string
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if strings.HasPrefix(scanner.Text(), "flamingodrift_client_refusals_total{") {
			lines = append(lines, scanner.Text())
		}
	}
	return strings.Join(lines, "\n")
}

// job returns a job of the given size.
func job(size int) []byte {
	const text = `{"comment":"%s","spec":"ordinary","steps":[{"count":1,"cpu":1000,"mem_mb":100,"est_runtime_ms":1000}]}`
	return fmt.Appendf(nil, text, strings.Repeat("x", size-len(text)+len("%s")))
}

// TestSurgeOfOrdinaryCallers guards against defaults that refuse ordinary callers: 2,000 connections, all with a body of 1 to
// 10 KB of which only the end is missing at the same time.
func TestSurgeOfOrdinaryCallers(t *testing.T) {
	const callers = 2000
	c := startCell(t, deployed)
	conns := make([]net.Conn, callers)
	ends := make([][]byte, callers)
	for i := range conns {
		conn, err := net.Dial("tcp", c.addresses["front"])
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		require.NoError(t, conn.SetDeadline(time.Now().Add(surgeTimeout)))
		body := job(1000 + i*9000/callers)
		_, err = io.WriteString(conn, head("POST", fmt.Sprintf("/jobs/%016x", i+1),
			fmt.Sprintf("X-Request-Deadline: 20000\r\nContent-Length: %d\r\n", len(body))))
		require.NoError(t, err)
		_, err = conn.Write(body[:len(body)-1])
		require.NoError(t, err)
		conns[i], ends[i] = conn, body[len(body)-1:]
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for i, conn := range conns {
		group.Go(func() {
			status := 0
			if _, err := conn.Write(ends[i]); err == nil {
				if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
					status = response.StatusCode
				}
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
	}
	group.Wait()
	t.Logf("statuses: %v; frontd had at most %d MiB resident", statuses, c.processes["frontd"].peakMB(t))
	require.Empty(t, c.refusals(t, "front metrics"))
	require.Zero(t, statuses[0], "connections without a response")
}

// TestSurgeOfWorkers guards against defaults that refuse the reports of 1,000 workers at once.
func TestSurgeOfWorkers(t *testing.T) {
	const workers = 1000
	c := startCell(t, deployed)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}, Timeout: surgeTimeout}
	var group sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for i := range workers {
		group.Go(func() {
			for sequence := range 3 {
				body := bytes.Replace(ordinaryReport, []byte(`"seq":1`), fmt.Appendf(nil, `"seq":%d`, sequence+1), 1)
				request, _ := http.NewRequest(http.MethodPut,
					fmt.Sprintf("http://%s/-/instances/worker-%d", c.addresses["control"], i), bytes.NewReader(body))
				status := 0
				if response, err := client.Do(request); err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
					status = response.StatusCode
				}
				mu.Lock()
				statuses[status]++
				mu.Unlock()
			}
		})
	}
	group.Wait()
	t.Logf("statuses: %v; controld had at most %d MiB resident", statuses, c.processes["controld"].peakMB(t))
	require.Empty(t, c.refusals(t, "control health"))
	require.Zero(t, statuses[0], "reports without a response")
}

// randomText returns text that compresses badly.
func randomText(size int) string {
	const letters = "0123456789abcdef"
	random := rand.New(rand.NewPCG(1, 2))
	text := make([]byte, size)
	for i := range text {
		text[i] = letters[random.IntN(len(letters))]
	}
	return string(text)
}

// configuration returns a configuration with routes and padding, of the given size.
func configuration(t *testing.T, version, routes, size int) []byte {
	list := []any{map[string]any{
		"name": "crowd", "host": queueHost, "path_prefix": "/jobs/", "service": "pool", "timeout_ms": 3000,
		"target_duration_ms": 60_000, "attempts": 3, "stretch": 2,
	}}
	for i := range routes - 1 {
		list = append(list, map[string]any{
			"name": fmt.Sprint("route-", i), "host": "other.example", "path_prefix": fmt.Sprintf("/route-%d/", i),
			"service": "pool", "timeout_ms": 3000, "target_duration_ms": 60_000, "attempts": 3, "stretch": 2,
			"advice": map[string]any{"decide_ms": 1, "each_ms": 0.1, "valid_ms": 1000},
		})
	}
	document := map[string]any{"version": version, "services": []any{map[string]any{"name": "pool"}}, "routes": list, "comment": ""}
	body, err := json.Marshal(document)
	require.NoError(t, err)
	document["comment"] = randomText(size - len(body))
	body, err = json.Marshal(document)
	require.NoError(t, err)
	require.Len(t, body, size)
	return body
}

// TestLargestRequests guards against defaults that refuse a single request within the limits in the absence of load.
func TestLargestRequests(t *testing.T) {
	c := startCell(t, deployed)
	c.answered(t, "front", http.MethodPost, "/jobs/00000000000000b1", job(jobBytes))
	report := bytes.Replace(ordinaryReport, []byte("{"),
		fmt.Appendf(nil, `{"comment":"%s",`, strings.Repeat("x", 4<<20-len(ordinaryReport)-len(`"comment":"",`))), 1)
	require.Len(t, report, 4<<20)
	c.answered(t, "control", http.MethodPut, "/-/instances/ordinary", report)
	for i, routes := range []int{1400, 20_000} {
		text := configuration(t, i+2, routes, 16<<20)
		c.answered(t, "control", http.MethodPut, "/-/config", text)
		require.Eventually(t, func() bool {
			response, err := http.Get("http://" + c.addresses["control"] + "/-/config")
			if err != nil {
				return false
			}
			defer func() { _ = response.Body.Close() }()
			got, err := io.ReadAll(response.Body)
			return err == nil && response.StatusCode == http.StatusOK && bytes.Equal(text, got)
		}, answerTimeout, 100*time.Millisecond, "the configuration is returned as it was sent")
	}
	c.answered(t, "front", http.MethodPost, "/jobs/00000000000000b2", ordinaryJob)
	t.Logf("controld had at most %d MiB resident", c.processes["controld"].peakMB(t))
	require.Empty(t, c.refusals(t, "control health"))
	require.Empty(t, c.refusals(t, "front metrics"))
}
