package logic

// This file: estimates that follow what was observed: values that fade, and the paces of kinds.

import (
	"math"
	"time"
)

// slowLearn is the weight of a new sample in a kind's pace.
const slowLearn = 0.03

// fading is a value that decays towards zero with time.
type fading struct {
	v  float64
	at Time
}

func (f fading) value(now Time, over time.Duration) float64 {
	return f.v * math.Exp(-math.Max(float64(now-f.at), 0)/float64(over))
}

func (f *fading) add(now Time, over time.Duration, x float64) { f.v, f.at = f.value(now, over)+x, now }

// average takes x into a fading mean. Its weight grows with the time since the last one: what is seldom
// heard of is believed at once, what is often heard of is averaged.
func (f *fading) average(now Time, over time.Duration, x, least float64) {
	a := finite(1-math.Exp(-3*math.Max(float64(now-f.at), 0)/float64(over)), least, 0.5)
	f.add(now, over, a*(x-f.value(now, over)))
}

// pace is the usual speed of a kind: tokens and seconds, slowly averaged, and how far single times stray.
type pace struct {
	n                    int
	tok, sec, ratio, dev float64
}

func (p *pace) seconds(tok float64) float64 { return p.sec / p.tok * tok }

// unusual is the time that hardly any attempt takes.
func (p *pace) unusual(tok float64) float64 { return p.seconds(tok) * (p.ratio + strayTimes*p.dev) }

func (p *pace) observe(tok, sec float64) {
	p.stray(tok, sec)
	p.n++
	a := math.Max(1/float64(p.n), slowLearn)
	p.tok += a * (tok - p.tok)
	p.sec += a * (sec - p.sec)
}

// stray notes how far one time lies from the pace; that of an attempt cut off counts as well, or a fleet
// that queues would have its reads cut off and read again until nothing else is read.
func (p *pace) stray(tok, sec float64) {
	x := finite(sec/p.seconds(tok), 0, maxRatio)
	p.dev += fastLearn * (math.Abs(x-p.ratio) - p.dev)
	p.ratio += fastLearn * (x - p.ratio)
}
