package logic

// This file: arithmetic that the other files share.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// hash is alike at all gateways, uniform in (0, 1].
func hash(k Key, s ServerID) float64 {
	x := uint64(k) ^ uint64(s)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11+1) / (1 << 53)
}

func byHash(servers []*server, key func(*server) float64) {
	slices.SortFunc(servers, func(a, b *server) int { return cmp.Compare(key(a), key(b)) })
}

func after(from, to Time) time.Duration { return time.Duration(to - from) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func finite(v, least, most float64) float64 {
	if math.IsNaN(v) || v < least {
		return least
	}
	return math.Min(v, most)
}
