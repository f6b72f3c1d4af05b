package logic

import (
	"testing"
	"time"
)

const (
	arrivalPeriod = 100 * time.Millisecond // time between two requests
	maxStreams    = 20                     // concurrent answers: each lasts for this many arrivals
)

// runErringWriters sends requests to writers that answer with errors at once where errs says so,
// and serve otherwise. It returns how many attempts each server got, and how many requests were
// refused.
func runErringWriters(t *testing.T, requests int, errs func(s ServerID, n int) bool) (attempts map[ServerID]int, refused int) {
	type stream struct {
		id RequestID
		at ServerID
	}
	var running []stream
	r := newTestGateway(t, reader(1, 0), writer(2, 0), writer(3, 0), writer(4, 0))
	attempts = map[ServerID]int{}
	for n := range requests {
		r.wait(arrivalPeriod)
		if len(running) == maxStreams {
			done := running[0]
			running = running[1:]
			r.g.Handle(r.now, []Event{{Kind: AttemptEnded, ID: done.id, Server: done.at, Status: Served, Closed: true}}, nil)
		}
		id, acts := r.arrive(Request{Session: Key(n + 1)})
		for {
			send := find(acts, Send)
			if send == nil {
				break
			}
			attempts[send.Server]++
			switch {
			case send.Server == 1:
				acts = r.end(id, 1, PromptRead, 0)
			case errs(send.Server, n):
				acts = r.end(id, send.Server, ServerError, 0)
			default:
				r.start(id, send.Server)
				running = append(running, stream{id, send.Server})
				acts = nil
			}
		}
		if find(acts, Refuse) != nil {
			refused++
		}
	}
	return attempts, refused
}

// A writer that answers errors at once always looks the least loaded. It gets single trials at
// increasing intervals only, until it serves one.
func TestErringServerIsTriedSeldom(t *testing.T) {
	const requests, recoversAt = 300, 200
	early, late := 0, 0
	_, refused := runErringWriters(t, requests, func(s ServerID, n int) bool {
		if s != 2 {
			return false
		}
		if n < recoversAt {
			early++
			return true
		}
		late++
		return false
	})
	if early > 10 {
		t.Errorf("%d attempts in 20 s in which it answers errors only", early)
	}
	if late < 10 {
		t.Errorf("%d attempts in the 10 s after it has recovered", late)
	}
	if refused > 0 {
		t.Errorf("%d requests refused with two writers that serve", refused)
	}
}

// When all servers answer errors, none is left out: each request gets as many attempts as the
// settings allow.
func TestNothingIsShedWhenAllServersErr(t *testing.T) {
	const requests = 50
	perServer, refused := runErringWriters(t, requests, func(ServerID, int) bool { return true })
	attempts := perServer[2] + perServer[3] + perServer[4]
	if least := requests * (testSettings().MaxAttempts - 2); attempts < least {
		t.Errorf("%d attempts at writers, %d requests, refused %d", attempts, requests, refused)
	}
	for s, n := range perServer {
		if n < requests/5 {
			t.Errorf("server %d got %d attempts", s, n)
		}
	}
}

// Requests that may run only once avoid a server after a single error. Others do not, as the error
// may be the fault of the request.
func TestOnceRequestsAvoidAServerAfterAnError(t *testing.T) {
	for class, elsewhere := range []bool{false, true, true} {
		r := newTestGateway(t, reader(1, 0), writer(2, 0), writer(3, 0))
		read := func(class int) (RequestID, *Action) {
			id, _ := r.arrive(Request{Class: class})
			return id, find(r.end(id, 1, PromptRead, 0), Send)
		}
		id, first := read(0)
		r.g.Handle(r.now, []Event{{Kind: AttemptEnded, ID: id, Server: first.Server, Status: ServerError, Closed: true}}, nil)
		other := r.g.byID[5-first.Server]
		other.ownTokens, other.streams = 0.5*other.memory, 20 // it looks much worse
		if _, next := read(class); (next.Server == other.Server) != elsewhere {
			t.Errorf("class %d goes to server %d after an error of server %d", class, next.Server, first.Server)
		}
		r.wait(maxBackoff)
		if _, next := read(class); next.Server != first.Server {
			t.Errorf("class %d still avoids server %d after %v", class, first.Server, maxBackoff)
		}
	}
}
