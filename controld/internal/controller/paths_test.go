package controller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/wire"
	"flamingodrift.example/platform/jobhandler"
)

// callers sends the requests of callers to the leader of a group, through the handler of the platform's API.
type callers struct {
	group   *group
	handler http.Handler
	version uint64
}

func newCallers(t *testing.T) *callers {
	t.Helper()
	f := newFakeFleet(t, 1, 0)
	config := f.config()
	config.MinVoters = 1
	c := &callers{group: newGroupWithQueues(t, 1, config)}
	f.group = c.group
	c.handler = jobhandler.New(jobhandler.Config{Queues: c, MaxJobBytes: 1 << 20})
	return c
}

// Call implements jobhandler.Queues.
func (c *callers) Call(_ context.Context, call *wire.QueueCall) *wire.QueueReply {
	reply := c.group.call(c.group.awaitLeader(), call)
	c.group.runUntil(5*time.Second, "the call is not answered", func() bool { return *reply != nil })
	return (*reply).GetQueue()
}

// configure puts queues into force, by name and path prefix.
func (c *callers) configure(queues ...[2]string) {
	c.version++
	config := &wire.QueueConfig{Version: c.version, Document: []byte("{}")}
	for _, q := range queues {
		config.Queues = append(config.Queues, &wire.Queue{Name: q[0], Host: "h.example", Prefix: q[1], Pool: "p", Attempts: 2})
	}
	c.group.callUntilOK(&wire.QueueCall{Body: &wire.QueueCall_Configure{Configure: config}})
}

func (c *callers) do(method, path string) (status int, body string) {
	const job = `{"spec":"x","steps":[{"count":1,"cpu":1000}]}`
	recorder := httptest.NewRecorder()
	c.handler.ServeHTTP(recorder, &http.Request{
		Method: method, Host: "H.example:80", URL: &url.URL{Path: path}, Header: http.Header{},
		Body: io.NopCloser(strings.NewReader(job)), ContentLength: int64(len(job)),
	})
	return recorder.Code, strings.TrimSpace(recorder.Body.String())
}

// TestPathsOfJobs guards against accepted jobs that are not found, cannot be canceled or do not count as pending under the
// path by which they were accepted (review/13, LOST and UNASKED), whatever slashes the prefixes have and however the queues
// change.
func TestPathsOfJobs(t *testing.T) {
	const id = "0123456789abcdef"
	tests := []struct {
		name          string
		before, after [][2]string
		prefix        string
		// pending is the answer to a count under the prefix after the change.
		pending string
	}{
		{"a slash", [][2]string{{"q", "/a/"}}, [][2]string{{"q", "/a/"}}, "/a/", `{"pending":1}`},
		{"no slash", [][2]string{{"q", "/walkin-"}}, [][2]string{{"q", "/walkin-"}}, "/walkin-", `{"pending":1}`},
		{"the root", [][2]string{{"q", "/"}}, [][2]string{{"q", "/"}}, "/", `{"pending":1}`},
		{
			"no slash inside another",
			[][2]string{{"q", "/a"}, {"r", "/a/b-"}},
			[][2]string{{"q", "/a"}, {"r", "/a/b-"}},
			"/a/b-", `{"pending":1}`,
		},
		{
			"outside another",
			[][2]string{{"q", "/a"}, {"r", "/a/b-"}},
			[][2]string{{"q", "/a"}, {"r", "/a/b-"}},
			"/a", `{"pending":1}`,
		},
		{
			"a longer prefix is added that covers the job",
			[][2]string{{"q", "/a/"}},
			[][2]string{{"q", "/a/"}, {"r", "/a/01"}},
			"/a/", `{"pending":1}`,
		},
		{
			"the whole path becomes a prefix",
			[][2]string{{"q", "/a/"}},
			[][2]string{{"q", "/a/"}, {"r", "/a/" + id}},
			"/a/", `{"pending":1}`,
		},
		{"a shorter prefix is added", [][2]string{{"q", "/a/b-"}}, [][2]string{{"q", "/a/b-"}, {"r", "/a/"}}, "/a/b-", `{"pending":1}`},
		{"the queue is dropped", [][2]string{{"q", "/walkin-"}}, [][2]string{{"r", "/b/"}}, "/walkin-", ""},
		{
			"the queue is dropped, another covers the path",
			[][2]string{{"q", "/a/walkin-"}},
			[][2]string{{"r", "/a/"}},
			"/a/walkin-", "",
		},
		{"the queue gets another prefix", [][2]string{{"q", "/walkin-"}}, [][2]string{{"q", "/b/"}}, "/walkin-", ""},
		{"the queue gets another name", [][2]string{{"q", "/walkin-"}}, [][2]string{{"r", "/walkin-"}}, "/walkin-", `{"pending":1}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newCallers(t)
			c.configure(test.before...)
			path := test.prefix + id
			status, body := c.do(http.MethodGet, path)
			require.Equal(t, http.StatusGone, status, body)
			status, body = c.do(http.MethodPost, path)
			require.Equal(t, http.StatusOK, status, body)
			c.configure(test.after...)
			for range 2 {
				status, body = c.do(http.MethodGet, path)
				require.Equal(t, http.StatusOK, status, body)
				require.Equal(t, `{"state":"queued"}`, body)
				status, body = c.do(http.MethodPost, path)
				require.Equal(t, http.StatusOK, status, "submitted again: "+body)
			}
			require.Len(t, c.group.leader().ctl.cell.Batch().Active(), 1)
			status, body = c.do(http.MethodGet, test.prefix)
			if test.pending == "" {
				require.Equal(t, http.StatusNotFound, status, body)
			} else {
				require.Equal(t, test.pending, body)
			}
			status, body = c.do(http.MethodDelete, path)
			require.Equal(t, http.StatusOK, status, body)
			_, body = c.do(http.MethodGet, path)
			require.Equal(t, `{"state":"canceled"}`, body)
		})
	}
}

// TestJobsOfOtherPaths guards against reading or canceling a job under a path by which it was not accepted, and against a
// submission that is acknowledged but not stored because its id is taken.
func TestJobsOfOtherPaths(t *testing.T) {
	const id = "0123456789abcdef"
	c := newCallers(t)
	c.configure([2]string{"q", "/walkin-"}, [2]string{"r", "/b/"}, [2]string{"s", "/"})
	status, body := c.do(http.MethodPost, "/walkin-"+id)
	require.Equal(t, http.StatusOK, status, body)
	for _, path := range []string{"/b/" + id, "/" + id} {
		status, body = c.do(http.MethodGet, path)
		require.Equal(t, http.StatusGone, status, body)
		status, body = c.do(http.MethodDelete, path)
		require.Equal(t, http.StatusGone, status, body)
		status, body = c.do(http.MethodPost, path)
		require.Equal(t, http.StatusBadRequest, status, body)
	}
	_, body = c.do(http.MethodGet, "/walkin-"+id)
	require.Equal(t, `{"state":"queued"}`, body)
}

// TestJobsWithoutPath guards against losing jobs that an earlier version stored, without the path of their acceptance.
func TestJobsWithoutPath(t *testing.T) {
	c := newCallers(t)
	c.configure([2]string{"q", "/walkin-"})
	c.group.awaitLeader().ctl.propose(c.group.now, &wire.Command{Body: &wire.Command_Queue{Queue: &wire.QueueCommand{
		Submit: &wire.SubmittedJob{Id: submitID(1), Queue: "q", Steps: []*wire.JobStep{{Count: 1, CpuMillis: 1000}}},
	}}}, func(*wire.Result) {})
	c.group.run(time.Second)
	c.configure()
	_, body := c.do(http.MethodGet, "/walkin-"+submitID(1))
	require.Equal(t, `{"state":"queued"}`, body)
	status, body := c.do(http.MethodDelete, "/walkin-"+submitID(1))
	require.Equal(t, http.StatusOK, status, body)
}

// FuzzAcceptedPaths guards the rule that whatever a POST accepts, a GET and a DELETE of the same path find, and that nothing
// else is found, for any prefixes and through a change of the queues.
func FuzzAcceptedPaths(f *testing.F) {
	const id = "0123456789abcdef"
	for change := range uint8(6) {
		for covered := range uint8(3) {
			f.Add("/walkin-", "/confirm/", id, change, covered)
			f.Add("/a/", "/a/0", id, change, covered)
			f.Add("/a", "/a/b-", id, change, 16*covered)
			f.Add("/", "/"+id, id, change, covered+2)
			f.Add("/a/"+id, "/a/", id, change, 20+covered)
		}
	}
	f.Add("/é-", "/a b/", "0123456789ABCDEF", uint8(5), uint8(3))
	f.Add("/a//b", "/a/../b/", "not an id", uint8(1), uint8(0))
	f.Fuzz(func(t *testing.T, first, second, id string, change, covered uint8) {
		for _, prefix := range []string{first, second} {
			if !strings.HasPrefix(prefix, "/") || !utf8.ValidString(prefix) || len(prefix) > 100 {
				t.Skip()
			}
		}
		path := first + id
		if first == second || !utf8.ValidString(path) || len(path) > 200 {
			t.Skip()
		}
		c := newCallers(t)
		before := [][2]string{{"q", first}, {"r", second}}
		c.configure(before...)
		status, _ := c.do(http.MethodPost, path)
		if status != http.StatusOK {
			status, body := c.do(http.MethodGet, path)
			require.NotContains(t, body, "state", status)
			status, body = c.do(http.MethodDelete, path)
			require.NotEqual(t, http.StatusOK, status, body)
			return
		}
		if other := second + id; other != path {
			_, body := c.do(http.MethodGet, other)
			require.NotContains(t, body, "state")
			status, _ = c.do(http.MethodDelete, other)
			require.NotEqual(t, http.StatusOK, status)
		}
		after, prefixInForce := changedQueues(before, path, change, covered)
		c.configure(after...)
		_, body := c.do(http.MethodGet, path)
		require.Equal(t, `{"state":"queued"}`, body)
		status, body = c.do(http.MethodPost, path)
		require.Equal(t, http.StatusOK, status, body)
		require.Len(t, c.group.leader().ctl.cell.Batch().Active(), 1)
		if _, body = c.do(http.MethodGet, first); prefixInForce {
			require.Equal(t, `{"pending":1}`, body)
		}
		status, body = c.do(http.MethodDelete, path)
		require.Equal(t, http.StatusOK, status, body)
		_, body = c.do(http.MethodGet, path)
		require.Equal(t, `{"state":"canceled"}`, body)
	})
}

// changedQueues returns the queues after a change, and whether one still has the prefix of the first.
func changedQueues(before [][2]string, path string, change, covered uint8) (after [][2]string, prefixInForce bool) {
	first, second := before[0], before[1]
	switch change % 6 {
	case 0:
		return before, true
	case 1:
		return nil, false
	case 2:
		return [][2]string{second}, false
	case 3:
		return [][2]string{{"renamed", first[1]}, second}, true
	case 4:
		return [][2]string{{first[0], fmt.Sprintf("%smoved", first[1])}}, false
	default:
		cover := path[:1+int(covered)%len(path)]
		if cover == first[1] || cover == second[1] || !utf8.ValidString(cover) {
			return before, true
		}
		return append(before, [2]string{"cover", cover}), true
	}
}
