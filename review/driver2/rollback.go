package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// answerLoser forwards HTTP calls to one address. While armed, it hands on the next call that it is to
// lose, but closes its client's connection in place of the answer.
type answerLoser struct {
	rig   *rig
	to    string
	loses func(req *http.Request, status int) bool
	armed atomic.Bool
	lost  atomic.Int64
}

func (a *answerLoser) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go a.forward(c)
	}
}

func (a *answerLoser) forward(c net.Conn) {
	defer c.Close()
	from := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(from)
		if err != nil {
			return
		}
		far, err := net.Dial("tcp4", a.to)
		if err != nil {
			return
		}
		req.Close = true
		resp, err := (*http.Response)(nil), req.Write(far)
		if err == nil {
			resp, err = http.ReadResponse(bufio.NewReader(far), req)
		}
		if err != nil {
			_ = far.Close()
			return
		}
		a.rig.note("relay: %s %s: %d", req.Method, req.URL.RequestURI(), resp.StatusCode)
		if a.loses(req, resp.StatusCode) && a.armed.CompareAndSwap(true, false) {
			a.lost.Add(1)
			a.rig.note("relay: this answer is lost")
			_ = far.Close()
			return
		}
		err = resp.Write(c)
		_ = far.Close()
		if err != nil || resp.Close {
			return
		}
	}
}

type revision struct {
	Version uint64 `json:"version"`
	Request string `json:"request"`
	From    uint64 `json:"from"`
}

// keptVersions is how many versions of a configuration are kept, by docs/operations/config.md.
const keptVersions = 64

// rollback publishes as many versions as are kept, and rolls back to the first of them. The answer to
// that is lost once.
func rollback(r *rig) error {
	s, err := r.startStore(false)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	relay := &answerLoser{rig: r, to: s.api[0], loses: func(req *http.Request, _ int) bool {
		return req.Method == http.MethodPost && strings.HasPrefix(req.URL.Path, "/v1/config/")
	}}
	r.closers = append(r.closers, func() { _ = l.Close() })
	go relay.serve(l)
	for i := 1; i <= keptVersions; i++ {
		file, err := r.file("publish.toml", fmt.Sprintf("attempts = %d\n", 1+i%5))
		if err != nil {
			return err
		}
		if out, err := r.run(15*time.Second, "config", "--at", s.api[0], "publish", "--request", fmt.Sprintf("publish-%d", i), file); err != nil {
			return fmt.Errorf("%w: publish: %w: %s", errRun, err, out)
		}
	}
	history := func() (list []revision) {
		status, text := r.call(http.MethodGet, "http://"+s.api[1]+"/v1/config/modelapi", "")
		if status != http.StatusOK || json.Unmarshal([]byte(text), &list) != nil {
			return nil
		}
		return list
	}
	list := history()
	if len(list) != keptVersions || list[0].Version != 1 {
		return fmt.Errorf("%w: %d versions are kept", errRun, len(list))
	}
	relay.armed.Store(r.trouble)
	out, failed := r.run(60*time.Second, "config", "--at", l.Addr().String(), "rollback", "--request", "back-to-1", "1")
	if r.trouble && relay.lost.Load() != 1 {
		return fmt.Errorf("%w: no answer was lost", errRun)
	}
	applied := 0
	for _, v := range history() {
		if v.Request == "back-to-1" {
			applied++
			r.note("the store has version %d by request %s, from version %d", v.Version, v.Request, v.From)
		}
	}
	if r.trouble {
		// What the page tells an operator to do: repeat with that name, at any replica.
		again, err := r.run(15*time.Second, "config", "--at", s.api[2], "rollback", "--request", "back-to-1", "1")
		if applied == 1 && err != nil {
			r.breaks("the request back-to-1 counts, and a repeat under its name at another replica has another answer: %s", lastLine(again))
		}
	}
	switch unknown := strings.Contains(out, "outcome is not known"); {
	case applied > 1:
		r.breaks("the request back-to-1 was applied %d times", applied)
	case applied == 1 && failed != nil && !unknown:
		r.breaks("the command reports that the rollback was refused, and it was applied: %s", lastLine(out))
	case applied == 0 && failed == nil:
		r.breaks("the command reports success, and nothing was applied")
	}
	return nil
}

func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}
