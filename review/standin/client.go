package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

const queueHost = "queue.example"

// send makes one call and returns the status and the body; the status is 0 if there was no response.
func send(client *http.Client, method, url, host string, body any) (int, []byte) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	if body == nil {
		data = nil
	}
	q, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	q.Header.Set("Content-Type", "application/json")
	if host != "" {
		q.Host = host
		q.Header.Set("X-Request-Deadline", "3000")
	}
	response, err := client.Do(q)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// route is one queue of a configuration.
type route struct {
	name, prefix string
	priority     int
	timeoutMs    int
}

func configBody(version int, service string, routes ...route) map[string]any {
	list := []any{}
	for _, q := range routes {
		list = append(list, map[string]any{
			"name": q.name, "host": queueHost, "path_prefix": q.prefix, "route_type": "unsafe", "timeout_ms": q.timeoutMs,
			"target_duration_ms": 60000, "priority": q.priority, "service": service, "attempts": 4, "stretch": 4.0,
		})
	}
	return map[string]any{
		"version": version, "routes": list,
		"services": []any{map[string]any{
			"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false,
			"enforces_capacity": false, "standby": false,
		}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	}
}

// operator sends configurations as the pages say: to any daemon, again after a failure, a 5xx or a second without a
// response.
type operator struct {
	cell   *cell
	rec    *record
	client *http.Client
}

func newOperator(c *cell, rec *record) *operator {
	return &operator{cell: c, rec: rec, client: &http.Client{Timeout: time.Second}}
}

// configure returns once the configuration is acknowledged.
func (o *operator) configure(body map[string]any, within time.Duration) error {
	for began, attempt := time.Now(), 0; time.Since(began) < within; attempt++ {
		controls := o.cell.controls()
		to := controls[rand.IntN(len(controls))]
		status, answer := send(o.client, "PUT", "http://"+to+"/-/config", "", body)
		o.rec.logf("operator", "PUT config %v to %s: %d", body["version"], to, status)
		if status == 200 {
			return nil
		}
		if status/100 == 4 {
			return fmt.Errorf("config %v is refused with %d: %s", body["version"], status, answer)
		}
		time.Sleep(min(50*time.Millisecond<<min(attempt, 4), time.Second))
	}
	return fmt.Errorf("config %v is not acknowledged", body["version"])
}

type step struct {
	Count     int    `json:"count"`
	CPU       int64  `json:"cpu"`
	MemMB     int64  `json:"mem_mb"`
	EstMs     int64  `json:"est_runtime_ms"`
	Gang      bool   `json:"gang,omitempty"`
	DependsOn []int  `json:"depends_on,omitempty"`
	Needs     string `json:"requirements,omitempty"`
}

// clients sends jobs and asks for their states.
type clients struct {
	cell   *cell
	rec    *record
	client *http.Client
}

func newClients(c *cell, rec *record) *clients {
	return &clients{cell: c, rec: rec, client: &http.Client{
		Timeout:   3 * time.Second,
		Transport: &http.Transport{MaxIdleConnsPerHost: 512, MaxConnsPerHost: 1024},
	}}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func jobBody(workMs int64, steps ...step) map[string]any { return failingJobBody(workMs, 0, steps...) }

// failingJobBody is the body of a job of which the first runs of each task fail.
func failingJobBody(workMs int64, fails int, steps ...step) map[string]any {
	gang := 0
	if steps[0].Gang {
		gang = steps[0].Count
	}
	text, _ := json.Marshal(spec{CPU: steps[0].CPU, WorkMs: workMs, Fails: fails, Gang: gang})
	return map[string]any{"spec": string(text), "steps": steps}
}

// submit hands a job in: after no response, a 502 or a 504 the same id is sent again, at any daemon. It returns the
// answers of all attempts.
func (c *clients) submit(prefix, id string, body map[string]any) []int {
	var answers []int
	for range 5 {
		fronts := c.cell.fronts()
		to := fronts[rand.IntN(len(fronts))]
		status, _ := send(c.client, "POST", "http://"+to+prefix+id, queueHost, body)
		c.rec.logf("client", "POST %s%s: %d (0: no response)", prefix, id, status)
		answers = append(answers, status)
		if status != 0 && status != 502 && status != 504 {
			return answers
		}
		time.Sleep(100 * time.Millisecond)
	}
	return answers
}

func accepted(answers []int) bool { return len(answers) > 0 && answers[len(answers)-1]/100 == 2 }

// state asks for the state of a job; it returns the status if that is not 200.
func (c *clients) state(prefix, id string) string {
	fronts := c.cell.fronts()
	status, answer := send(c.client, "GET", "http://"+fronts[rand.IntN(len(fronts))]+prefix+id, queueHost, nil)
	var body struct {
		State string `json:"state"`
	}
	if status != 200 || json.Unmarshal(answer, &body) != nil {
		return fmt.Sprint(status)
	}
	return body.State
}

// pending asks a front for the number of jobs that wait; -1 if it is not answered.
func (c *clients) pending(front, prefix string) int {
	status, answer := send(c.client, "GET", "http://"+front+prefix, queueHost, nil)
	var body struct {
		Pending int `json:"pending"`
	}
	if status != 200 || json.Unmarshal(answer, &body) != nil {
		return -1
	}
	return body.Pending
}
