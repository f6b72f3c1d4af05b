package platform

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lichenshelf/logic"
)

func classes(rules map[string]logic.Class, order ...string) *Config {
	c := &Config{names: map[string]map[string]int{"class": {}}}
	for i, name := range order {
		c.names["class"][name] = i
		c.Settings.Classes = append(c.Settings.Classes, rules[name])
	}
	return c
}

// A reload adds, removes and changes classes. Open requests keep their index and thereby their
// rules; new requests use the new classes.
func TestRetuneKeepsIndicesOfOpenRequests(t *testing.T) {
	chat, file := logic.Class{Aim: time.Second}, logic.Class{Aim: 3 * time.Second, Effect: logic.EffectOnce}
	f := NewFront(classes(map[string]logic.Class{"chat": chat, "file": file}, "chat", "file"), func() bool { return true })

	changed := logic.Class{Aim: 2 * time.Second}
	rules, publish := f.Retune(classes(map[string]logic.Class{"check": changed, "chat": chat, "file": changed}, "check", "chat", "file"))
	publish()
	now := f.classes.Load()
	require.Equal(t, 0, now.Index["chat"], "the same rules keep their index")
	require.Equal(t, file, rules[1], "the old rules of file stay for its open requests")
	require.Equal(t, changed, rules[now.Index["file"]])
	require.Equal(t, changed, rules[now.Index["check"]])
	require.Len(t, rules, 4)

	_, publish = f.Retune(classes(map[string]logic.Class{"chat": chat}, "chat"))
	publish()
	_, ok := f.classes.Load().Index["file"]
	require.False(t, ok, "a removed class accepts no new request")
}

// A file with an invalid setting is rejected with an error that names the key and its value.
func TestNonPositiveSettingsAreRejected(t *testing.T) {
	for key, values := range map[string]map[string]string{
		"bounds.most-tries":          {"bounds.most-tries": "0"},
		"categories.0.target-ns":     {"bounds.most-tries": "2", "categories.0.target-ns": "-5"},
		"categories.0.hard-limit-ns": {"bounds.most-tries": "2", "categories.0.target-ns": "5", "categories.0.hard-limit-ns": "0"},
	} {
		err := checkPositive(values, 1)
		require.ErrorContains(t, err, key)
	}
	require.NoError(t, checkPositive(map[string]string{"bounds.most-tries": "2", "categories.0.target-ns": "5"}, 1))
}

// Until the core has the new rules, no request may get a class that the core does not know: the
// core would treat it as one that may be repeated freely.
func TestNewClassesAreUsedOnlyAfterPublish(t *testing.T) {
	chat := logic.Class{Aim: time.Second}
	f := NewFront(classes(map[string]logic.Class{"chat": chat}, "chat"), func() bool { return true })
	once := logic.Class{Aim: time.Second, Effect: logic.EffectOnce}
	rules, publish := f.Retune(classes(map[string]logic.Class{"chat": once, "new": once}, "chat", "new"))
	index := f.classes.Load().Index
	require.Equal(t, 0, index["chat"])
	require.NotContains(t, index, "new")
	publish()
	index = f.classes.Load().Index
	require.Equal(t, once, rules[index["chat"]])
	require.Equal(t, once, rules[index["new"]])
}

// Reloads that switch between two configurations do not add a class each time, since every
// request checks all classes.
func TestAlternatingReloadsAddNoClasses(t *testing.T) {
	one, other := logic.Class{Aim: time.Second}, logic.Class{Aim: 2 * time.Second}
	f := NewFront(classes(map[string]logic.Class{"chat": one}, "chat"), func() bool { return true })
	var rules []logic.Class
	for i := range 100 {
		var publish func()
		rules, publish = f.Retune(classes(map[string]logic.Class{"chat": []logic.Class{other, one}[i%2]}, "chat"))
		publish()
		require.Equal(t, []logic.Class{other, one}[i%2], rules[f.classes.Load().Index["chat"]])
	}
	require.Len(t, rules, 2)
}
