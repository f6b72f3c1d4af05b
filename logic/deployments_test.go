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
func TestNoClassIsRefusedBeforeALessWorthyOne(t *testing.T) {
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
					r := newRig(t, reader(1, 0), writer(3, 0))
					r.g = New(set, 1)
					r.g.Handle(r.now, []Event{{Kind: ServersChanged, Whole: true,
						Members: []Member{reader(1, 0), writer(3, 0)}}}, nil)
					if s := r.g.byID[1]; report {
						r.g.tell(s, Load{HasUnread: true, UnreadToken: load})
					} else {
						s.unread = load
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
func TestPeersReportedLoadIsNotTheReadersPace(t *testing.T) {
	const perToken = 50 * time.Microsecond
	for _, peers := range []float64{0, 2000, 6000} {
		r := newRig(t, reader(1, 0), writer(3, 0))
		for range 200 {
			r.wait(200 * time.Millisecond)
			// Half of what a reader of two gateways reports is this gateway's.
			r.g.tell(r.g.byID[1], Load{HasUnread: true, UnreadToken: 2 * peers})
			id, acts := r.arrive(Request{PromptTokens: 2000, Patience: 30 * time.Second})
			r.wantSend(acts, 1)
			took := time.Duration(2000+baseTokens+peers) * perToken
			r.wait(took)
			r.g.Handle(r.now, []Event{{Kind: AttemptEnded, ID: id, Server: 1, Status: PromptRead, Latency: took}}, nil)
			r.start(id, 3)
			r.end(id, 3, Served, 0)
		}
		if got := r.g.reads[0].seconds(1000); got > 1.4*perToken.Seconds()*1000 {
			t.Errorf("beside %.0f reported tokens of peers the reader seems to take %.3f s for 1,000 tokens, not %.3f",
				peers, got, perToken.Seconds()*1000)
		}
	}
}
