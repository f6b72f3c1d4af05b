package budget

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkSpend measures the cost for each request at a router that borrows from all others, which
// is the most expensive case.
func BenchmarkSpend(b *testing.B) {
	for _, n := range []int{1, 8, 80, 200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFleet(b, n, 1)
			f.routers[0].demand = always(2 * f.limit)
			f.run(3 * f.lease)
			l, now := f.routers[0].ledger, f.clock(f.routers[0])
			b.ResetTimer()
			for i := range b.N {
				l.Spend(key, 1, now+Time(i%1000)*Time(time.Microsecond))
			}
		})
	}
}
