package load

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var usual = Config{Rate: 50, Classes: []float64{3, 1}, Prefixes: 20, Zipf: 1.2, PrefixTokens: 1000, Turns: 4, Prompt: 400, Answer: 100, Spread: 0.8, MaxTokens: 20000}

func TestRequestsFollowTheConfig(t *testing.T) {
	cfg := usual
	cfg.BurstRate, cfg.BurstEvery, cfg.BurstFor = 200, 10*time.Second, 2*time.Second
	a, b := New(cfg, 1), New(cfg, 1)
	var last time.Duration
	burst, calm, classes, texts, sessions := 0, 0, [2]int{}, map[uint64]int{}, map[uint64]float64{}
	for last < 100*time.Second {
		r := a.Next()
		require.Equal(t, r, b.Next(), "the same seed gives the same requests")
		require.GreaterOrEqual(t, r.At, last)
		require.LessOrEqual(t, r.PrefixTokens, r.PromptTokens)
		require.LessOrEqual(t, r.PromptTokens, cfg.MaxTokens)
		require.Positive(t, r.AnswerTokens)
		require.GreaterOrEqual(t, r.PromptTokens, sessions[r.Session], "a session's prompt only grows")
		sessions[r.Session] = r.PromptTokens
		last = r.At
		classes[r.Class]++
		texts[r.Prefix]++
		if r.At%cfg.BurstEvery < cfg.BurstFor {
			burst++
		} else {
			calm++
		}
	}
	require.InDelta(t, 200*20, burst, 300)
	require.InDelta(t, 50*80, calm, 300)
	require.InDelta(t, 0.75, float64(classes[0])/float64(classes[0]+classes[1]), 0.03)
	require.Greater(t, texts[1], texts[5], "most sessions share few texts")
	require.InDelta(t, 4, float64(burst+calm)/float64(len(sessions)), 0.5, "turns of a session")
}
