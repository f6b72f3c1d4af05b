package logic

import (
	"math"
	"time"
)

// slowWeight is the minimum weight of a new sample in the speed estimate of a kind.
const slowWeight = 0.03

// decayingValue is a value that decays exponentially towards zero.
type decayingValue struct {
	v  float64
	at Time
}

func (f decayingValue) value(now Time, timeConstant time.Duration) float64 {
	return f.v * math.Exp(-math.Max(float64(now-f.at), 0)/float64(timeConstant))
}

func (f *decayingValue) add(now Time, timeConstant time.Duration, x float64) {
	f.v, f.at = f.value(now, timeConstant)+x, now
}

// average moves the value towards the sample x. The weight of the sample grows with the time since
// the last one: a rare sample counts at once, frequent samples are averaged.
func (f *decayingValue) average(now Time, timeConstant time.Duration, x, minWeight float64) {
	a := clamp(1-math.Exp(-3*math.Max(float64(now-f.at), 0)/float64(timeConstant)), minWeight, 0.5)
	f.add(now, timeConstant, a*(x-f.value(now, timeConstant)))
}

// speedEstimate is the usual speed of a kind of server: slow averages of tokens and seconds, and
// how far single durations deviate from them.
type speedEstimate struct {
	samples              int
	tok, sec, ratio, dev float64
}

func (p *speedEstimate) seconds(tok float64) float64 { return p.sec / p.tok * tok }

// outlierSeconds returns a duration that hardly any attempt exceeds.
func (p *speedEstimate) outlierSeconds(tok float64) float64 {
	return p.seconds(tok) * (p.ratio + outlierDeviations*p.dev)
}

func (p *speedEstimate) observe(tok, sec float64) {
	p.observeRatio(tok, sec)
	p.samples++
	a := math.Max(1/float64(p.samples), slowWeight)
	p.tok += a * (tok - p.tok)
	p.sec += a * (sec - p.sec)
}

// observeRatio records how far one duration deviates from the speed. Durations of cancelled
// attempts count as well. Otherwise, when the fleet queues, its reads would be cancelled and
// repeated until nothing else is read.
func (p *speedEstimate) observeRatio(tok, sec float64) {
	x := clamp(sec/p.seconds(tok), 0, maxSampleRatio)
	p.dev += fastWeight * (math.Abs(x-p.ratio) - p.dev)
	p.ratio += fastWeight * (x - p.ratio)
}
