package logic

import (
	"testing"
	"time"
)

// shapes are the classes of deployments that differ in whose first token is wanted soonest: that of the
// class worth least, that of a class in between, and that of the class worth most.
var shapes = []struct {
	name    string
	classes []Class
}{
	{"the least worthy first", []Class{{Aim: 1500 * time.Millisecond, Points: 1}, {Aim: 2 * time.Second, Points: 3},
		{Aim: 3 * time.Second, Points: 3, Effect: EffectOnce}}},
	{"one in between first", []Class{{Aim: time.Second, Points: 2}, {Aim: 3 * time.Second, Points: 1},
		{Aim: 1500 * time.Millisecond, Points: 3, Effect: EffectOnce}}},
	{"the worthiest first", []Class{{Aim: 500 * time.Millisecond, Points: 5}, {Aim: 4 * time.Second, Points: 1},
		{Aim: 2 * time.Second}}},
	{"all alike", []Class{{Aim: time.Second, Points: 1}, {Aim: time.Second, Points: 1}}},
	{"nothing worth anything", []Class{{Aim: time.Second}, {Aim: 2 * time.Second}}},
}

// A queue that all classes share grows until it refuses. Nothing is let in while what is worth more is refused
// for that queue: a class with a long aim would fill it past the aims of the others.
func TestNoClassIsRefusedBeforeALowerValueOne(t *testing.T) {
	for _, shape := range shapes {
		for i := range shape.classes {
			shape.classes[i].AimPer1000 = 40 * time.Millisecond
		}
		for _, report := range []bool{false, true} {
			set := testSettings()
			set.Classes = shape.classes
			refused := make([]float64, len(set.Classes)) // backlog at which the class is refused first
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

// The pace of a reader is its own: what peers have waiting there, by its reports, is load that was found and
// not slowness. Taken for slowness it would make every queue look as many times longer.
func TestPeerLoadIsNotCountedAsSlowness(t *testing.T) {
	const perToken = 50 * time.Microsecond
	for _, peers := range []float64{0, 2000, 6000} {
		r := newTestGateway(t, reader(1, 0), writer(3, 0))
		for range 200 {
			r.wait(200 * time.Millisecond)
			// Half of what a reader of two gateways reports is this gateway's.
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
			t.Errorf("beside %.0f reported tokens of peers the reader seems to take %.3f s for 1,000 tokens, not %.3f",
				peers, got, perToken.Seconds()*1000)
		}
	}
}

// A jam at the writers is over as soon as one reports room. What was waited for before it would keep all
// requests out for seconds more, and with no sends nothing new would be learnt; without reports it must count.
func TestReportedRoomOverridesRememberedWait(t *testing.T) {
	for _, tc := range []struct {
		name    string
		load    Load
		refused bool
	}{
		{"no reports", Load{}, true},
		{"full", Load{HasMemory: true, MemoryShare: 0.97}, true},
		{"room, but not for this one", Load{HasMemory: true, MemoryShare: maxMemoryShare - 0.01}, true},
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

// Waits for room, which are told from a writer's report, do not pass for the pace of fetching.
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
		t.Errorf("after waits for room a fetch seems to take %.3f s, before them %.3f", got, usual)
	}
}

// A server whose clock is ahead is cold from when it was heard of, and warm in time; hearing the same start
// again is no restart.
func TestStartInTheFuture(t *testing.T) {
	for _, ahead := range []time.Duration{time.Second, 24 * time.Hour, 1 << 62} {
		r := newTestGateway(t, reader(1, 0), writer(3, 0))
		m := reader(2, 0)
		m.Since = r.now + min(Time(ahead), 1<<62)
		tell := func() {
			r.g.Handle(r.now, []Event{{Kind: ServersChanged, Members: []Member{m}}}, nil)
		}
		tell()
		if w := r.g.warmth(r.g.byID[2]); w != r.g.settings.ColdShare {
			t.Errorf("%v ahead: warmth %.2f at first, want %.2f", ahead, w, r.g.settings.ColdShare)
		}
		r.g.byID[2].cached[7] = cacheEntry{1000, r.now}
		r.wait(r.g.settings.WarmWithin)
		tell()
		r.g.now = r.now
		if w := r.g.warmth(r.g.byID[2]); w != 1 || len(r.g.byID[2].cached) == 0 {
			t.Errorf("%v ahead: warmth %.2f once it must be warm, %d texts kept", ahead, w, len(r.g.byID[2].cached))
		}
	}
}

// What others tell of a server's load counts as its own report does; of a server that is not listed it counts for nothing.
func TestLoadReportedByOtherRouters(t *testing.T) {
	r := newTestGateway(t, reader(1, 0), reader(2, 0), writer(3, 0))
	r.g.Handle(r.now, []Event{{Kind: LoadTold, Server: 1, Load: Load{HasUnread: true, UnreadToken: 9000}},
		{Kind: LoadTold, Server: 77, Load: Load{HasUnread: true, UnreadToken: 9000}}}, nil)
	_, acts := r.arrive(Request{})
	r.wantSend(acts, 2)
	// Of memory nothing was told, so what is thought of it stays.
	share := r.g.pools[RoleWrite].meanShare
	r.g.Handle(r.now, []Event{{Kind: LoadTold, Server: 3, Load: Load{HasMemory: true, MemoryShare: 0.5}}}, nil)
	if got := r.g.pools[RoleWrite].meanShare; got <= share {
		t.Errorf("the writers' mean is %.2f after a report of 0.5", got)
	}
	share = r.g.pools[RoleWrite].meanShare
	r.g.Handle(r.now, []Event{{Kind: LoadTold, Server: 3, Load: Load{HasUnread: true}}}, nil)
	if got := r.g.pools[RoleWrite].meanShare; got != share {
		t.Errorf("the writers' mean went from %.2f to %.2f by a report that holds none", share, got)
	}
}
