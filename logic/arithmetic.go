package logic

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// rendezvousHash returns a hash that is uniform in (0, 1] and the same in all gateways.
func rendezvousHash(k Key, s ServerID) float64 {
	x := uint64(k) ^ uint64(s)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11+1) / (1 << 53)
}

// sortByKey sorts servers by ascending key.
func sortByKey(servers []*server, key func(*server) float64) {
	slices.SortFunc(servers, func(a, b *server) int { return cmp.Compare(key(a), key(b)) })
}

// between returns the time that passes from one instant to another.
func between(from, to Time) time.Duration { return time.Duration(to - from) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// clamp limits v to the range from low to high. NaN becomes low.
func clamp(v, low, high float64) float64 {
	if math.IsNaN(v) || v < low {
		return low
	}
	return math.Min(v, high)
}
