package logic

import (
	"testing"
	"time"
)

// shapes are the classes of deployments that differ in which class has the shortest aim: that of
// the lowest value, one in between, or that of the highest value.
var shapes = []struct {
	name    string
	classes []Class
}{
	{"lowest value, shortest aim", []Class{{Aim: 1500 * time.Millisecond, Points: 1}, {Aim: 2 * time.Second, Points: 3},
		{Aim: 3 * time.Second, Points: 3, Effect: EffectOnce}}},
	{"medium value, shortest aim", []Class{{Aim: time.Second, Points: 2}, {Aim: 3 * time.Second, Points: 1},
		{Aim: 1500 * time.Millisecond, Points: 3, Effect: EffectOnce}}},
	{"highest value, shortest aim", []Class{{Aim: 500 * time.Millisecond, Points: 5}, {Aim: 4 * time.Second, Points: 1},
		{Aim: 2 * time.Second}}},
	{"all alike", []Class{{Aim: time.Second, Points: 1}, {Aim: time.Second, Points: 1}}},
	{"no class with a value", []Class{{Aim: time.Second}, {Aim: 2 * time.Second}}},
}

// All classes share a queue, which grows until it causes refusals. No class is admitted while one
// of higher value is refused because of that queue: a class with a long aim would fill it past the
// aims of the others.
func TestNoClassIsRefusedBeforeALowerValueOne(t *testing.T) {
	for _, shape := range shapes {
		for i := range shape.classes {
			shape.classes[i].AimPer1000 = 40 * time.Millisecond
		}
		for _, report := range []bool{false, true} {
			set := testSettings()
			set.Classes = shape.classes
			// Backlog at which the class is refused first.
			refused := make([]float64, len(set.Classes))
			for class := range set.Classes {
				for load := 0.0; load <= 4e5 && refused[class] == 0; load += 1000 {
					r := newTestGateway(t, reader(1, 0), writer(3, 0))
					r.g = New(set, 1)
					r.g.Handle(r.now, []Event{{Kind: ServersChanged, Whole: true,
						Members: []Member{reader(1, 0), writer(3, 0)}}}, nil)
					if s := r.g.byID[1]; report {
						r.g.applyReport(s, Load{HasUnread: true, UnreadToken: load})
					} else {
						s.pendingTokens = load
					}
					if _, acts := r.arrive(Request{Class: class, PromptTokens: 500, Patience: 30 * time.Second}); find(acts, Refuse) != nil {
						refused[class] = load
					}
				}
				if refused[class] == 0 {
					t.Errorf("%s, reports %v: class %d is never refused", shape.name, report, class)
				}
			}
			for i, a := range set.Classes {
				for j, b := range set.Classes {
					if a.Points > b.Points && refused[i] < refused[j] {
						t.Errorf("%s, reports %v: class %d of %v points is refused from %.0f tokens, class %d of %v points from %.0f",
							shape.name, report, i, a.Points, refused[i], j, b.Points, refused[j])
					}
				}
			}
		}
	}
}

// Load of peers that a reader reports is queued ahead of a request and is not slowness of the
// reader. Counted as slowness it would multiply the apparent length of every queue.
func TestPeerLoadIsNotCountedAsSlowness(t *testing.T) {
	const perToken = 50 * time.Microsecond
	for _, peers := range []float64{0, 2000, 6000} {
		r := newTestGateway(t, reader(1, 0), writer(3, 0))
		for range 200 {
			r.wait(200 * time.Millisecond)
			// Half of what a reader of two gateways reports belongs to this gateway.
			r.g.applyReport(r.g.byID[1], Load{HasUnread: true, UnreadToken: 2 * peers})
			id, acts := r.arrive(Request{PromptTokens: 2000, Patience: 30 * time.Second})
			r.wantSend(acts, 1)
			took := time.Duration(2000+overheadTokens+peers) * perToken
			r.wait(took)
			r.g.Handle(r.now, []Event{{Kind: AttemptEnded, ID: id, Server: 1, Status: PromptRead, Latency: took}}, nil)
			r.start(id, 3)
			r.end(id, 3, Served, 0)
		}
		if got := r.g.readSpeeds[0].seconds(1000); got > 1.4*perToken.Seconds()*1000 {
			t.Errorf("with %.0f reported tokens of peers the estimate is %.3f s for 1,000 tokens, want %.3f",
				peers, got, perToken.Seconds()*1000)
		}
	}
}

// Overload of the writers is over as soon as one reports room. Remembered waits would refuse all
// requests for seconds more, and without sends nothing new would be observed. Without reports they
// must count.
func TestReportedRoomOverridesRememberedWait(t *testing.T) {
	for _, tc := range []struct {
		name    string
		load    Load
		refused bool
	}{
		{"no reports", Load{}, true},
		{"full", Load{HasMemory: true, MemoryShare: 0.97}, true},
		{"room, but not for this request", Load{HasMemory: true, MemoryShare: maxMemoryShare - 0.01}, true},
		{"room", Load{HasMemory: true, MemoryShare: 0.4}, false},
	} {
		r := newTestGateway(t, reader(1, 0), writer(3, 0))
		var ids []RequestID
		for range 10 { // four seconds at the writer each
			id, acts := r.arrive(Request{PromptTokens: 300, Patience: 30 * time.Second})
			r.wantSend(acts, 1)
			r.end(id, 1, PromptRead, 0)
			ids = append(ids, id)
		}
		r.wait(4 * time.Second)
		for _, id := range ids {
			r.g.Handle(r.now, []Event{{Kind: AnswerStarted, ID: id, Server: 3, Latency: 4 * time.Second}}, nil)
			r.g.Handle(r.now, []Event{{Kind: AttemptEnded, ID: id, Server: 3, Status: Served, Load: tc.load}}, nil)
		}
		r.wait(meansInterval)
		_, acts := r.arrive(Request{Class: 0, PromptTokens: 3000, Patience: 30 * time.Second})
		if got := find(acts, Refuse) != nil; got != tc.refused {
			t.Errorf("%s: refused %v", tc.name, got)
		}
	}
}

// Waits for room, which show in a writer's report, do not change the fetch speed.
func TestWaitForRoomIsNotCountedAsFetchTime(t *testing.T) {
	r := newTestGateway(t, reader(1, 0), writer(3, 0))
	fetch := func(share float64, took time.Duration) {
		id, acts := r.arrive(Request{Patience: 30 * time.Second})
		r.wantSend(acts, 1)
		r.end(id, 1, PromptRead, 0)
		r.wait(took)
		r.g.now = r.now
		r.g.applyReport(r.g.byID[3], Load{HasMemory: true, MemoryShare: share})
		r.g.Handle(r.now, []Event{{Kind: AnswerStarted, ID: id, Server: 3, Latency: took}}, nil)
		r.end(id, 3, Served, 0)
		r.wait(2 * time.Minute)
	}
	for range 50 {
		fetch(0.3, 20*time.Millisecond)
	}
	usual := r.g.fetchSpeed.seconds(2000)
	for range 50 {
		fetch(1, 3*time.Second)
	}
	if got := r.g.fetchSpeed.seconds(2000); got > 1.1*usual {
		t.Errorf("estimated fetch time of %.3f s after waits for room, %.3f s before them", got, usual)
	}
}

// A server whose clock is ahead is cold from when it was first listed, and becomes warm in time.
// Listing it again with the same start is no restart.
func TestStartInTheFuture(t *testing.T) {
	for _, ahead := range []time.Duration{time.Second, 24 * time.Hour, 1 << 62} {
		r := newTestGateway(t, reader(1, 0), writer(3, 0))
		m := reader(2, 0)
		m.Since = r.now + min(Time(ahead), 1<<62)
		listServer := func() {
			r.g.Handle(r.now, []Event{{Kind: ServersChanged, Members: []Member{m}}}, nil)
		}
		listServer()
		if w := r.g.warmth(r.g.byID[2]); w != r.g.settings.ColdShare {
			t.Errorf("%v ahead: warmth %.2f at first, want %.2f", ahead, w, r.g.settings.ColdShare)
		}
		r.g.byID[2].cached[7] = cacheEntry{1000, r.now}
		r.wait(r.g.settings.WarmWithin)
		listServer()
		r.g.now = r.now
		if w := r.g.warmth(r.g.byID[2]); w != 1 || len(r.g.byID[2].cached) == 0 {
			t.Errorf("%v ahead: warmth %.2f after WarmWithin, %d cache entries", ahead, w, len(r.g.byID[2].cached))
		}
	}
}

// A load report that other routers pass on counts as the server's own. For a server that is not
// listed it is ignored.
func TestLoadReportedByOtherRouters(t *testing.T) {
	r := newTestGateway(t, reader(1, 0), reader(2, 0), writer(3, 0))
	r.g.Handle(r.now, []Event{{Kind: LoadReported, Server: 1, Load: Load{HasUnread: true, UnreadToken: 9000}},
		{Kind: LoadReported, Server: 77, Load: Load{HasUnread: true, UnreadToken: 9000}}}, nil)
	_, acts := r.arrive(Request{})
	r.wantSend(acts, 2)
	// The report held no memory share, so the mean of the memory shares stays.
	share := r.g.pools[RoleWrite].meanShare
	r.g.Handle(r.now, []Event{{Kind: LoadReported, Server: 3, Load: Load{HasMemory: true, MemoryShare: 0.5}}}, nil)
	if got := r.g.pools[RoleWrite].meanShare; got <= share {
		t.Errorf("the writers' mean memory share is %.2f after a report of 0.5", got)
	}
	share = r.g.pools[RoleWrite].meanShare
	r.g.Handle(r.now, []Event{{Kind: LoadReported, Server: 3, Load: Load{HasUnread: true}}}, nil)
	if got := r.g.pools[RoleWrite].meanShare; got != share {
		t.Errorf("the writers' mean memory share went from %.2f to %.2f by a report without one", share, got)
	}
}
