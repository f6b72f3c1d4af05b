package logic_test

import (
	"fmt"
	"time"

	"lichenshelf/logic"
)

func Example() {
	gateway := logic.New(logic.Settings{
		Gateways:      1,
		Classes:       []logic.Class{{Aim: time.Second, AimPer1000: 50 * time.Millisecond, Points: 1}},
		Kinds:         []logic.Kind{{Role: logic.RoleRead}, {Role: logic.RoleWrite, MemoryTokens: 150_000}},
		MaxAttempts:   5,
		WarmWithin:    10 * time.Second,
		ReleaseWithin: time.Second,
	}, 1)
	actions := gateway.Handle(1, []logic.Event{
		{Kind: logic.ServersChanged, Whole: true, Members: []logic.Member{
			{Server: 1, Weight: 1, Kind: 0}, {Server: 2, Weight: 1, Kind: 1}}},
		{Kind: logic.Arrived, Request: logic.Request{ID: 7, PromptTokens: 900, MaxTokens: 200, Patience: 4 * time.Second}},
	}, nil)
	fmt.Println(actions[0].Kind == logic.Send, actions[0].Server)
	// Output: true 1
}
