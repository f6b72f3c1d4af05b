package logic

import (
	"testing"
	"time"
)

// serve takes one request through a gateway of 200 in front of 100 servers, from its arrival to its
// end.
func serve(g *Gateway, now Time, id RequestID, actions []Action) []Action {
	q := Request{ID: id, Session: Key(id), Prefix: Key(id%20 + 1), PrefixTokens: 1500, PromptTokens: 2000,
		MaxTokens: 100, Patience: 4 * time.Second}
	actions = g.Handle(now, []Event{{Kind: Arrived, Request: q}}, actions[:0])
	for a := find(actions, Send); a != nil; a = find(actions, Send) {
		now += Time(20 * time.Millisecond)
		end := Event{Kind: AttemptEnded, ID: id, Server: a.Server, Status: PromptRead, Latency: 20 * time.Millisecond}
		if a.Server%2 == 0 {
			g.Handle(now, []Event{{Kind: AnswerStarted, ID: id, Server: a.Server, Latency: end.Latency}}, nil)
			end.Status = Served
		}
		actions = g.Handle(now, []Event{end}, actions[:0])
	}
	return actions
}

// A request costs a bounded number of allocations, whatever the number of servers.
func TestAllocationsOfARequest(t *testing.T) {
	g, now, id := gateways(200, fleet(100, 0), Time(time.Hour))[0], Time(time.Hour), RequestID(0)
	var actions []Action
	step := func() {
		id++
		now += Time(time.Second)
		actions = serve(g, now, id, actions)
	}
	for range 100 { // tables and affinity groups grow at first
		step()
	}
	if n := testing.AllocsPerRun(200, step); n > 30 {
		t.Errorf("%.0f allocations a request", n)
	}
	if len(g.requests) != 0 {
		t.Errorf("%d requests remain after their end", len(g.requests))
	}
}

// The memory of an instance is bounded by its settings, its server list and its tables, not by its
// traffic.
func TestMemoryOfAnInstanceIsBounded(t *testing.T) {
	g, now := gateways(200, fleet(100, 0), Time(time.Hour))[0], Time(time.Hour)
	for id := RequestID(1); id <= 3000; id++ {
		now += Time(100 * time.Millisecond)
		serve(g, now, id, nil)
	}
	g.Handle(now+Time(2*entryTTL), []Event{{Kind: ServersChanged, Whole: true}}, nil)
	entries := 0
	for _, s := range g.servers {
		entries += len(s.cached)
	}
	if len(g.requests)+len(g.affinityGroups)+len(g.servers)+len(g.byID)+entries != 0 {
		t.Errorf("%d requests, %d affinity groups, %d servers, %d entries after all have expired",
			len(g.requests), len(g.affinityGroups), len(g.servers), entries)
	}
}

func TestGatewayCountsOfSettings(t *testing.T) {
	for _, n := range []int{-1, 0, 1, 1000} {
		set := testSettings()
		set.Gateways = n
		g := New(set, 1)
		g.Handle(Time(time.Hour), []Event{{Kind: ServersChanged, Whole: true, Members: fleet(400, 0)}}, nil)
		q := Request{ID: 1, Prefix: 5, PrefixTokens: 900, PromptTokens: 1000, MaxTokens: 10, Patience: time.Second}
		acts := g.Handle(Time(time.Hour), []Event{{Kind: Arrived, Request: q}}, nil)
		if a := find(acts, Send); a == nil || a.Server%2 != 1 {
			t.Errorf("%d gateways: %+v, want a send to a reader", n, acts)
		}
	}
}

func BenchmarkHandle(b *testing.B) {
	g, now := gateways(200, fleet(100, 0), Time(time.Hour))[0], Time(time.Hour)
	var actions []Action
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += Time(time.Second)
		actions = serve(g, now, RequestID(i+1), actions)
	}
}
