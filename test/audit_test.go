package test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lichenshelf/fleet/audit"
	"lichenshelf/fleet/eventlog"
	"lichenshelf/internal/plots"
	relay "lichenshelf/internal/standin/link"
	"lichenshelf/lab/demo"
)

// collect copies the event logs of all routers while they run.
func (l *labRig) collect() (dirs []string) {
	to := l.t.TempDir()
	args := []string{"audit", "collect"}
	for _, r := range l.layout.Routers {
		args = append(args, "--operator", r.Operator)
		dirs = append(dirs, filepath.Join(to, strings.ReplaceAll(r.Operator, ":", "_")))
	}
	out, err := command(l.t, append(args, to)...)
	require.NoError(l.t, err, out)
	return dirs
}

// Five programs keep event logs while workers are killed and restarted, and routers are stopped,
// partitioned and replaced. The check must find no breach, and no worker may have received more
// attempts than the logs record. With a record removed, a byte flipped or a send after its window
// added, the check must find that and name the place.
func TestAuditOfFivePrograms(t *testing.T) {
	t.Parallel()
	const n = 5
	dir := t.TempDir()
	l := newLabRig(t, n, labFleet+fmt.Sprintf("repeats_per_s = %g\ntrail = %q\n", labRepeats, dir), 25, 11)
	began := time.Now()
	l.site.Kill("reader-0", time.Second)
	l.layout.SetFaults(func(from, to int) bool { return (from < 2) != (to < 2) }, relay.Fault{Refuse: true, Drop: [2]bool{true, true}})
	l.routers[1].signal(syscall.SIGSTOP)
	l.clients.Avoid(1, true)
	l.site.Kill("writer-1", time.Second)
	eventually(t, func() bool { return l.site.Up() < len(demo.Site().Servers) }, "workers are down")
	eventually(t, func() bool { return l.site.Up() == len(demo.Site().Servers) }, "workers are up again")
	l.routers[1].signal(syscall.SIGCONT)
	l.clients.Avoid(1, false)
	l.clients.Avoid(3, true)
	l.routers[3].signal(syscall.SIGTERM)
	l.routers[3].waitExit()
	l.restart(3)
	l.clients.Avoid(3, false)
	for until := l.seconds() + 3; l.seconds() < until; {
		time.Sleep(pollInterval)
	}
	eventually(t, func() bool { // on a busy machine this may take longer
		for _, r := range l.layout.Routers {
			tr, err := eventlog.Read(filepath.Join(dir, r.Name))
			if err == nil && slices.ContainsFunc(tr.Entries, func(e audit.Entry) bool { return e.Kind == audit.Borrowed }) {
				return true
			}
		}
		return false
	}, "a loan is recorded as borrowed")
	copied := l.collect()
	l.stopClients()
	l.requireOneAnswerEach()
	var dirs []string
	for i, p := range l.routers {
		p.signal(syscall.SIGTERM)
		p.waitExit()
		dirs = append(dirs, filepath.Join(dir, l.layout.Routers[i].Name))
	}
	check := func() (string, error) { return command(t, append([]string{"audit", "check"}, dirs...)...) }
	out, err := check()
	require.NoError(t, err, out)
	require.Contains(t, out, "no breach")
	picture := filepath.Join(t.TempDir(), "lag.png")
	live, err := command(t, append([]string{"audit", "lag"}, copied...)...)
	require.NoError(t, err, live)
	require.Contains(t, live, "versions behind at most")
	trails, err := eventlog.ReadAll(copied)
	require.NoError(t, err)
	require.NoError(t, plots.Lag(trails, picture))
	drawn, err := os.ReadFile(picture)
	require.NoError(t, err)
	require.True(t, bytes.HasPrefix(drawn, []byte("\x89PNG")))
	live, err = command(t, append([]string{"audit", "check"}, copied...)...)
	require.NoError(t, err, live)

	received, recorded := map[string]uint64{}, map[string]uint64{}
	for _, a := range l.site.Record() {
		received[a.Worker]++
	}
	outs, loans := 0, map[audit.Kind]int{}
	for _, d := range dirs {
		tr, err := eventlog.Read(d)
		require.NoError(t, err)
		for _, e := range tr.Entries {
			switch e.Kind {
			case audit.Sent:
				recorded[e.Worker] += e.Count
			case audit.Out:
				outs++
			case audit.Lent, audit.Borrowed:
				loans[e.Kind]++
			}
		}
	}
	require.Positive(t, loans[audit.Borrowed])
	require.GreaterOrEqual(t, loans[audit.Lent], loans[audit.Borrowed], "each borrowed loan was lent; some grants are lost on the way")
	require.GreaterOrEqual(t, outs, 2*(n-1), "each router records the workers that are out")
	for name, times := range received {
		require.GreaterOrEqual(t, recorded[name], times, "attempts that %s received", name)
	}
	for _, args := range [][]string{{"lag"}, {"worker", "reader-0"}, {"timeline"}} {
		out, err := command(t, append(append([]string{"audit"}, args...), dirs...)...)
		require.NoError(t, err, out)
		require.Contains(t, out, l.layout.Routers[4].Name)
	}
	out, err = command(t, append([]string{"audit", "who", "workers/discovery@" + l.site.Discovery(), "2"}, dirs...)...)
	require.NoError(t, err, out)
	require.Contains(t, out, "r-0")
	t.Logf("%v of event logs of %d routers", time.Since(began), n)

	// Damage to an event log, and a breach added to it, must be found.
	names, err := eventlog.Segments(dirs[0])
	require.NoError(t, err)
	whole, err := os.ReadFile(names[0])
	require.NoError(t, err)
	tr, err := eventlog.Read(dirs[0])
	require.NoError(t, err)
	require.Greater(t, len(tr.Entries), 12)
	from, to := tr.Entries[5].Offset, tr.Entries[6].Offset
	late, err := eventlog.Encode(audit.Record{Seq: tr.Entries[len(tr.Entries)-1].Seq + 1, Kind: audit.Sent, Worker: "reader-0",
		Since: firstOutEntry(tr, "reader-0").Since, Number: lastNumber(tr), At: time.Hour, Until: time.Hour + time.Second, Count: 1})
	require.NoError(t, err)
	for what, text := range map[string][]byte{
		"is missing":      append(bytes.Clone(whole[:from]), whole[to:]...),
		"checksum":        append(append(bytes.Clone(whole[:from+20]), whole[from+20]^1), whole[from+21:]...),
		"past its window": append(bytes.Clone(whole), late...),
	} {
		require.NoError(t, os.WriteFile(names[0], text, 0o600))
		out, err := check()
		require.Error(t, err, what)
		require.Contains(t, out, what)
		require.Contains(t, out, names[0], "the file is named")
		require.True(t, strings.HasPrefix(out, l.layout.Routers[0].Name+": "), out)
	}
}

// firstOutEntry returns the first entry that takes this worker out.
func firstOutEntry(t audit.Trail, worker string) (out audit.Entry) {
	for _, e := range t.Entries {
		if e.Kind == audit.Out && e.Worker == worker {
			return e
		}
	}
	return out
}

// lastNumber returns the highest configuration number in the event log.
func lastNumber(t audit.Trail) (n uint64) {
	for _, e := range t.Entries {
		n = max(n, e.Number)
	}
	return n
}
