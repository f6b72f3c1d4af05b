package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	repeatWindow = 2 * time.Second // of the by-key class, as the settings tell
	// Every time limit on sockets is 50 ms longer, and windows allow for a router that is held up for 150 ms.
	windowSlack = 200 * time.Millisecond
	victimID    = "00000000000000aa"
	victimTime  = 8 * time.Second
	resetAfter  = repeatWindow - 150*time.Millisecond // after the request has reached its first writer
)

// turn is the length of a conversation's first turn in tokens.
const turn = 4000

// readBy has conversations begin until the prompt of one is read by the given worker, which keeps
// its text, and returns that conversation.
func readBy(f *fleet, m *router, by *worker) (session string, err error) {
	for n := range 40 {
		id := fmt.Sprintf("%016x", 0x900000+n)
		status, _, err := m.ask(id, "passage-check", id, turn, victimTime)
		if calls := f.of(id); err == nil && status == http.StatusOK && len(calls) > 0 && calls[0].worker == by.id {
			return id, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return "", errors.New("no conversation began at " + by.id)
}

// repeatInWindow has a writer hold a by-key request and reset it shortly before its window ends,
// while the answers of the workers to releases get lost.
func repeatInWindow(r *rig) error {
	f := newFleet(r)
	var mu sync.Mutex
	var firstAt time.Time // when the request reached a worker where it has an effect
	lossFrom := time.Time{}
	reached := make(chan struct{})
	// answerLost holds a release without an answer, as if its answer were lost.
	release := func(q *http.Request) {
		mu.Lock()
		lost := !lossFrom.IsZero() && time.Now().After(lossFrom)
		mu.Unlock()
		if lost {
			<-q.Context().Done()
		}
	}
	reader, err := f.addWorker("s-reader", "prefill", func(w http.ResponseWriter, _ string) { read(w) }, release)
	if err != nil {
		return err
	}
	writer, err := f.addWorker("s-writer", "decode", func(w http.ResponseWriter, id string) {
		if id != victimID { // also the first turn
			stream(w)
			return
		}
		mu.Lock()
		first := firstAt.IsZero()
		if first {
			firstAt = time.Now()
		}
		mu.Unlock()
		if first {
			close(reached)
		}
		if !r.trouble || !first {
			stream(w)
			return
		}
		time.Sleep(resetAfter - 10*time.Millisecond)
		mu.Lock()
		lossFrom = time.Now()
		mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		reset(w)
		r.note("s-writer resets the connection of %s", victimID)
	}, release)
	if err != nil {
		return err
	}
	mixed, err := f.addWorker("s-mixed", "mixed", func(w http.ResponseWriter, _ string) { stream(w) }, release)
	if err != nil {
		return err
	}
	f.list(true, "in_service", reader, writer, mixed)
	m, err := f.startRouter(fmt.Sprintf(settings, repeatWindow.Nanoseconds()))
	if err != nil {
		return err
	}
	// Other clients ask all the time.
	stop := make(chan struct{})
	var wg sync.WaitGroup
	served, asked := 0, 0
	wg.Go(func() {
		for n := 1; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(60 * time.Millisecond):
			}
			id := fmt.Sprintf("%016x", 0x1000+n)
			status, _, err := m.ask(id, "chart-query", id, 500, 6*time.Second)
			r.note("a client sent %s, class chart-query: status %d, error %v", id, status, err)
			asked++
			if err == nil && status == http.StatusOK {
				served++
			}
		}
	})
	time.Sleep(1500 * time.Millisecond)
	session, err := readBy(f, m, reader)
	if err != nil {
		return err
	}
	var status int
	var answer string
	var askErr error
	wg.Go(func() {
		r.note("a client sends %s, class passage-check (by_key, repeat window %v)", victimID, repeatWindow)
		status, answer, askErr = m.ask(victimID, "passage-check", session, turn+100, victimTime)
		r.note("%s is answered: status %d, %d bytes, error %v", victimID, status, len(answer), askErr)
	})
	select {
	case <-reached:
	case <-time.After(10 * time.Second):
		return errors.New("the request never reached a writer")
	}
	if r.trouble {
		time.Sleep(500 * time.Millisecond)
		r.note("discovery tells that s-reader is terminating")
		f.list(false, "terminating", reader)
	}
	time.Sleep(5 * time.Second)
	close(stop)
	wg.Wait()
	r.note("other requests: %d asked, %d served", asked, served)
	f.noteArrivals()
	broken, runs := false, 0
	var ran time.Time
	for _, a := range f.of(victimID) {
		r.note("%s %s at %s, %8.1f ms after its first run", a.method, a.id, a.worker, float64(a.at.Sub(firstAt).Microseconds())/1000)
		if a.method != http.MethodPost || a.worker == reader.id {
			continue
		}
		runs++
		if ran.IsZero() {
			ran = a.at
		} else if late := a.at.Sub(ran); late > repeatWindow+windowSlack {
			broken = true
			r.note("RUN TWICE: the repeat comes %v after the first run; its group forgets it after %v, and %v more are allowed", late, repeatWindow, windowSlack)
		}
	}
	r.note("%s ran or may have run %d times", victimID, runs)
	switch {
	case broken:
		return errBroken
	case served < asked/2:
		return errors.New("too few of the other requests were served")
	}
	return nil
}
