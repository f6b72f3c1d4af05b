package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	pollWait = 4 * time.Second
	// polls is how often the caller asks again after the change: each is owed an answer at once.
	polls = 4
)

// rewatch watches an ephemeral node by long polls, at a relay that loses one answer: the one that
// tells that the node is gone.
func rewatch(r *rig) error {
	s, err := r.startStore(false)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	relay := &answerLoser{rig: r, to: s.api[1], loses: func(req *http.Request, status int) bool {
		return req.URL.Query().Has("watch") && status == http.StatusNotFound
	}}
	r.closers = append(r.closers, func() { _ = l.Close() })
	go relay.serve(l)
	// leader makes a write, following redirects as the API states.
	write := func(method, path, body string) (int, string, error) {
		var status int
		var text string
		err := r.eventually(method+" "+path, 15*time.Second, func() bool {
			status, text = r.call(method, "http://"+s.api[0]+path, body)
			return status/100 == 2 || status == http.StatusConflict
		})
		r.note("%s %s: %d %s", method, path, status, strings.TrimSpace(text))
		return status, text, err
	}
	if _, _, err := write(http.MethodPost, "/v1/nodes/backends", ""); err != nil {
		return err
	}
	_, text, err := write(http.MethodPost, "/v1/sessions", `{"timeout_ms":60000}`)
	if err != nil {
		return err
	}
	var session struct{ Session string }
	if err := json.Unmarshal([]byte(text), &session); err != nil {
		return err
	}
	if _, _, err := write(http.MethodPost, "/v1/nodes/backends/m-1?session="+session.Session, `{"addr":"127.0.0.1:9001"}`); err != nil {
		return err
	}
	const node = "/v1/nodes/backends/m-1"
	status, text := r.call(http.MethodGet, "http://"+s.api[1]+node, "")
	var seen struct {
		Stat struct{ Version, Children int64 }
	}
	if status != http.StatusOK || json.Unmarshal([]byte(text), &seen) != nil {
		return fmt.Errorf("%w: read the node: %d %s", errRun, status, text)
	}
	poll := func(at string) int {
		status, text := r.call(http.MethodGet, fmt.Sprintf("http://%s%s?watch=1&version=%d&children=%d&wait_ms=%d", at, node, seen.Stat.Version, seen.Stat.Children,
			pollWait.Milliseconds()), "")
		r.note("watch at version %d: %d %s", seen.Stat.Version, status, strings.TrimSpace(text))
		return status
	}
	if status := poll(l.Addr().String()); status != http.StatusNoContent {
		return fmt.Errorf("%w: a watch of an unchanged node is answered %d", errRun, status)
	}
	if r.trouble {
		relay.armed.Store(true)
	}
	answered := make(chan int, 1)
	go func() { answered <- poll(l.Addr().String()) }()
	time.Sleep(time.Second)
	if _, _, err := write(http.MethodDelete, "/v1/sessions/"+session.Session, ""); err != nil {
		return err
	}
	switch status := <-answered; {
	case !r.trouble && status == http.StatusNotFound:
		return nil
	case !r.trouble || status != 0:
		return fmt.Errorf("%w: the watch is answered %d", errRun, status)
	}
	// The answer was lost: the caller asks again, at the same replica, directly, and at the others.
	told := 0
	for i := range polls {
		at := []string{l.Addr().String(), s.api[1], s.api[2], s.api[0]}[i%4]
		if status := poll(at); status != http.StatusNoContent {
			told++
		}
	}
	status, text = r.call(http.MethodGet, "http://"+s.api[1]+node, "")
	r.note("a read: %d %s", status, strings.TrimSpace(text))
	if status != http.StatusNotFound {
		return fmt.Errorf("%w: the node is still there: %d", errRun, status)
	}
	if told == 0 {
		r.breaks("%d watches at version %d of a node that is gone were answered 204, at all three replicas: nothing has changed", polls, seen.Stat.Version)
	}
	return nil
}
