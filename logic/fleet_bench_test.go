package logic

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkFleet measures how one of 80 gateways applies a whole server list, and how it decides on
// a read and its writer.
func BenchmarkFleet(b *testing.B) {
	for _, servers := range []int{60, 1000} {
		now := Time(time.Hour)
		members := fleet(servers, 0)
		for i := 0; i < servers; i += 4 {
			members[i].Since = now - 1 // a quarter is cold
		}
		b.Run(fmt.Sprintf("list/%d", servers), func(b *testing.B) {
			g := gateways(80, members, now)[0]
			events := []Event{{Kind: ServersChanged, Whole: true, Members: members}}
			b.ReportAllocs()
			for b.Loop() {
				g.Handle(now, events, nil)
			}
		})
		b.Run(fmt.Sprintf("decision/%d", servers), func(b *testing.B) {
			g := gateways(80, members, now)[0]
			var actions []Action
			id := RequestID(0)
			b.ReportAllocs()
			for b.Loop() {
				now += Time(time.Millisecond)
				id++
				actions = serve(g, now, id, actions)
			}
		})
	}
}
