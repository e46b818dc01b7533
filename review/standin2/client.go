package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// queue is a route of the configuration.
type queue struct {
	name, host, prefix, service string
	priority, attempts          int
	stretch                     float64
	allowanceMs                 int
}

func (q queue) route() map[string]any {
	return map[string]any{
		"name": q.name, "host": q.host, "path_prefix": q.prefix, "route_type": "unsafe", "timeout_ms": 3000,
		"target_duration_ms": q.allowanceMs, "priority": q.priority, "service": q.service, "attempts": q.attempts,
		"stretch": q.stretch,
	}
}

// configure sends a configuration as the operator does, until it is acknowledged.
func (c *cell) configure(version int, services []string, queues ...queue) error {
	routes, list := []any{}, []any{}
	for _, q := range queues {
		routes = append(routes, q.route())
	}
	for _, s := range services {
		list = append(list, map[string]any{
			"name": s, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false,
			"enforces_capacity": false, "standby": false,
		})
	}
	body, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
	client := &http.Client{Timeout: time.Second}
	controls := c.controls()
	for try := 0; try < 200; try++ {
		to := controls[try%len(controls)]
		req, _ := http.NewRequest(http.MethodPut, "http://"+to+"/-/config", bytes.NewReader(body))
		resp, err := client.Do(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				c.rec.line("operator: configuration %d acknowledged", version)
				return nil
			}
			if resp.StatusCode < 500 {
				return fmt.Errorf("configuration %d got %d", version, resp.StatusCode)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("configuration %d was not acknowledged", version)
}

var callers = &http.Client{
	Timeout:   3 * time.Second,
	Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second},
}

// call sends one request of a client. The status is 0 without an answer.
func (c *cell) call(method, front string, q queue, rest string, body []byte) (status int, answer map[string]any, retryAfter int) {
	req, _ := http.NewRequest(method, "http://"+front+q.prefix+rest, bytes.NewReader(body))
	req.Host = q.host
	req.Header.Set("X-Request-Deadline", "3000")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := callers.Do(req)
	if err != nil {
		return 0, nil, 0
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	_ = json.Unmarshal(data, &answer)
	retryAfter, _ = strconv.Atoi(resp.Header.Get("Retry-After"))
	return resp.StatusCode, answer, retryAfter
}

// submit hands a job in, with retries as the clients' are.
func (c *cell) submit(q queue, id string, body []byte) (status int) {
	fronts := c.fronts()
	for try := 0; try <= 4; try++ {
		var retryAfter int
		status, _, retryAfter = c.call(http.MethodPost, fronts[try%len(fronts)], q, id, body)
		if status == http.StatusOK || status >= 400 && status < 500 && status != http.StatusTooManyRequests {
			return status
		}
		time.Sleep(max(100*time.Millisecond, time.Duration(retryAfter)*time.Second))
	}
	return status
}

// state returns the state of a job, with up to some tries; it is empty without one, and status says why.
func (c *cell) state(q queue, id string, tries int) (state string, status int) {
	fronts := c.fronts()
	for try := range tries {
		var answer map[string]any
		status, answer, _ = c.call(http.MethodGet, fronts[try%len(fronts)], q, id, nil)
		if status == http.StatusOK {
			state, _ = answer["state"].(string)
			return state, status
		}
		if status == http.StatusGone {
			return "", status
		}
		time.Sleep(100 * time.Millisecond)
	}
	return "", status
}

// awaitReady waits until the fronts are ready.
func (c *cell) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for range 200 {
		ready := 0
		for _, p := range c.procs {
			if p.role != "front" {
				continue
			}
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/-/ready", p.ip, c.ports.ready))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(c.fronts()) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the fronts are not ready")
}

// awaitPlaced waits until a job of each kind runs to its end: the runners are in use then.
func (c *cell) awaitPlaced(q queue, id string) error {
	body := []byte(`{"spec":"ms=50","steps":[{"count":1,"cpu":100,"mem_mb":10,"est_runtime_ms":50}]}`)
	if status := c.submit(q, id, body); status != http.StatusOK {
		return fmt.Errorf("the first job got %d", status)
	}
	for range 100 {
		if state, _ := c.state(q, id, 1); state == "completed" {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the first job does not complete")
}
