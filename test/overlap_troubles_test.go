package test

import (
	"context"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"lichenshelf/internal/standin/cpushare"
	"lichenshelf/internal/standin/link"
	"lichenshelf/internal/standin/syscalls"
)

// injectFault injects one random fault into a router or worker that has no other fault, and ends
// it.
func (r *overlapRig) injectFault(rng *rand.Rand) {
	names := slices.DeleteFunc(slices.Sorted(maps.Keys(overlapFaults)), func(name string) bool { return name == "vanish" && r.blackholeErr != nil })
	name := names[rng.IntN(len(names))]
	done := overlapFaults[name](r, rng)
	if done {
		r.mu.Lock()
		r.injected[name]++
		r.mu.Unlock()
	}
	time.Sleep(time.Duration(rng.IntN(150)) * time.Millisecond)
}

// overlapFaults holds the faults by name. Each function injects a fault and ends it, or returns
// false if it could not. The names are sorted for the draw: renaming one changes what a seed does.
var overlapFaults = map[string]func(*overlapRig, *rand.Rand) bool{
	"restart":  onRouter((*overlapRouter).restart),
	"kill":     onRouter((*overlapRouter).kill),
	"upgrade":  onRouter((*overlapRouter).upgrade),
	"reload":   onRouter((*overlapRouter).reload),
	"stall":    onRouter((*overlapRouter).stall),
	"clock":    onRouter((*overlapRouter).stepClock),
	"syscalls": onRouter((*overlapRouter).failCalls),
	"agent silent": onRouter(func(o *overlapRouter, rng *rand.Rand) {
		o.markAgentUnreachable(time.Now()) // the router is informed within 6 s
		o.agent.silence()
		time.Sleep(randomDuration(rng, time.Second))
	}),
	"agent down": onRouter(func(o *overlapRouter, rng *rand.Rand) {
		d := randomDuration(rng, 3*time.Second)
		o.markAgentUnreachable(time.Now().Add(d + loadTolerance))
		up := o.agent.stop()
		time.Sleep(d)
		up()
		o.markAgentUnreachable(time.Now())
	}),
	"agent refuses": onRouter(func(o *overlapRouter, rng *rand.Rand) {
		d := randomDuration(rng, 2*time.Second)
		o.markAgentUnreachable(time.Now().Add(d + loadTolerance))
		o.agent.refuse(true)
		o.agent.CloseClientConnections()
		time.Sleep(d)
		o.agent.refuse(false)
		o.markAgentUnreachable(time.Now())
	}),
	"agent resets": onRouter(func(o *overlapRouter, _ *rand.Rand) { o.agent.CloseClientConnections() }),
	"leave":        onWorker((*overlapWorker).leaveAndReturn),
	"by hand":      (*overlapRig).suspendAndResume,
	"crowd":        (*overlapRig).crowd,
	"twice":        withBehavior(answersTwice),
	"forget":       withBehavior(closesAfterAnswer),
	"pieces":       withLinkFault(link.Fault{Pieces: true}),
	"reset link": onWorker(func(k *overlapWorker, _ *overlapRig, _ *rand.Rand) {
		k.linkFaults.Add(1)
		defer k.linkFaults.Add(1)
		k.relay.Reset()
	}),
	"hang":         withBehavior(hangs),
	"fail":         withBehavior(fails),
	"turn away":    withBehavior(rejects),
	"reset":        withBehavior(resets),
	"break off":    withBehavior(breaksOff),
	"half answer":  withBehavior(halfAnswer),
	"slow link":    withLinkFault(link.Fault{Delay: 60 * time.Millisecond}),
	"refuse":       withLinkFault(link.Fault{Refuse: true}),
	"vanish":       withLinkFault(link.Fault{Blackhole: true}),
	"answers lost": withLinkFault(link.Fault{Drop: [2]bool{false, true}}),
	"sends lost":   withLinkFault(link.Fault{Drop: [2]bool{true, false}}),
	"all lost":     withLinkFault(link.Fault{Drop: [2]bool{true, true}}),
	"open connections silent": onWorker(func(k *overlapWorker, _ *overlapRig, _ *rand.Rand) {
		k.linkFaults.Add(1)
		k.relay.Silence()
		// Requests that have just passed the relay lose their answers as well.
		time.Sleep(maxRelayDelay)
		k.linkFaults.Add(1)
	}),
	"half of all workers lost": func(r *overlapRig, rng *rand.Rand) bool {
		r.onHalfOfAllWorkers(applyLinkFault(link.Fault{Drop: [2]bool{true, true}}, randomDuration(rng, 2*time.Second)))
		return true
	},
	"cut that heals": (*overlapRig).cutThatHeals,
	"log not read":   onRouter((*overlapRouter).logNotRead),
	"starved crowd":  onRouter((*overlapRouter).starvedCrowd),
	"signals":        onRouter((*overlapRouter).signalsInSeries),
	"end of a start": onRouter((*overlapRouter).terminateDuringStart),
	"half of all writers hang": func(r *overlapRig, rng *rand.Rand) bool {
		for _, k := range r.workers[overlapReaders : overlapReaders+overlapWriters/2] {
			if k.busy.TryLock() {
				defer k.busy.Unlock()
				k.behavior.Store(int32(hangs))
				defer k.behavior.Store(int32(normal))
			}
		}
		time.Sleep(randomDuration(rng, 1500*time.Millisecond))
		return true
	},
}

// randomDuration returns a random duration between an eighth of the limit and the limit.
func randomDuration(rng *rand.Rand, limit time.Duration) time.Duration {
	return limit/8 + time.Duration(rng.Int64N(int64(limit-limit/8)))
}

// onRouter returns a fault that acts on a random router.
func onRouter(do func(*overlapRouter, *rand.Rand)) func(*overlapRig, *rand.Rand) bool {
	return func(r *overlapRig, rng *rand.Rand) bool {
		o := r.routers[rng.IntN(len(r.routers))]
		if !o.busy.TryLock() {
			return false
		}
		defer o.busy.Unlock()
		do(o, rng)
		return true
	}
}

// onWorker returns a fault that acts on a random worker.
func onWorker(do func(*overlapWorker, *overlapRig, *rand.Rand)) func(*overlapRig, *rand.Rand) bool {
	return func(r *overlapRig, rng *rand.Rand) bool {
		k := r.workers[rng.IntN(len(r.workers))]
		if !k.busy.TryLock() {
			return false
		}
		defer k.busy.Unlock()
		do(k, r, rng)
		return true
	}
}

func withBehavior(m behavior) func(*overlapRig, *rand.Rand) bool {
	return onWorker(func(k *overlapWorker, _ *overlapRig, rng *rand.Rand) {
		k.behavior.Store(int32(m))
		time.Sleep(randomDuration(rng, 2*time.Second))
		k.behavior.Store(int32(normal))
	})
}

func withLinkFault(f link.Fault) func(*overlapRig, *rand.Rand) bool {
	return onWorker(func(k *overlapWorker, _ *overlapRig, rng *rand.Rand) {
		applyLinkFault(f, randomDuration(rng, 2*time.Second))(k)
	})
}

// applyLinkFault returns a function that gives the link to a worker a fault for the duration.
func applyLinkFault(f link.Fault, duration time.Duration) func(*overlapWorker) {
	return func(k *overlapWorker) {
		k.linkFaults.Add(1)
		defer k.linkFaults.Add(1)
		k.relay.Set(f)
		if f.Refuse {
			k.relay.Cut()
		}
		time.Sleep(duration)
		k.relay.Set(link.Fault{})
		k.relay.Cut() // close connections that were silent: TCP would reset them
	}
}

// leaveAndReturn announces that a worker drains, has terminated, and has started again.
func (k *overlapWorker) leaveAndReturn(r *overlapRig, rng *rand.Rand) {
	r.announce(k, "terminating")
	time.Sleep(randomDuration(rng, 3*time.Second))
	r.announce(k, "terminated")
	time.Sleep(randomDuration(rng, time.Second))
	r.announce(k, "in_service")
}

func (o *overlapRouter) terminate(p *program) {
	o.termAt.Store(time.Now().UnixNano())
	p.signal(syscall.SIGTERM)
	o.waitEnd(p)
}

func (o *overlapRouter) restart(*rand.Rand) {
	p, _, _ := o.process()
	o.terminate(p)
	o.start()
}

// upgrade starts a new process while the current one runs, and then terminates the old one.
func (o *overlapRouter) upgrade(*rand.Rand) {
	p, _, _ := o.process()
	o.start()
	p.signal(syscall.SIGTERM) // new connections go to the new process
	o.waitEnd(p)
}

func (o *overlapRouter) kill(rng *rand.Rand) {
	p, _, _ := o.process()
	o.termAt.Store(1) // long ago: no client opens new connections
	o.kills.Add(1)
	for _, id := range o.rig.judge.Open(o.name) {
		o.rig.judge.Excuse(id)
	}
	p.signal(syscall.SIGKILL)
	<-p.exit
	for _, id := range o.rig.judge.Open(o.name) {
		o.rig.judge.Excuse(id)
	}
	time.Sleep(randomDuration(rng, 500*time.Millisecond))
	o.start()
}

// signalsInSeries ends the process with several SIGHUP, SIGTERM and SIGUSR1 signals in quick
// succession, with changed deadlines in the configuration that is reloaded.
func (o *overlapRouter) signalsInSeries(rng *rand.Rand) {
	if err := o.drawConfig(rng); err != nil {
		o.rig.fault("%v", err)
	}
	p, _, _ := o.process()
	pause := func() { time.Sleep(time.Duration(rng.IntN(3)) * 10 * time.Millisecond) }
	for range 1 + rng.IntN(2) {
		p.signal(syscall.SIGHUP)
		pause()
	}
	o.termAt.Store(time.Now().UnixNano())
	p.signal(syscall.SIGTERM)
	for range rng.IntN(3) {
		pause()
		// The process may have exited.
		_ = p.cmd.Process.Signal([]syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGUSR1}[rng.IntN(3)])
	}
	o.waitEnd(p)
	o.start()
}

// terminateDuringStart sends SIGTERM to a process that has just been started, ready or not.
func (o *overlapRouter) terminateDuringStart(rng *rand.Rand) {
	p, _, _ := o.process()
	o.terminate(p)
	p = o.launch()
	time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
	o.termAt.Store(time.Now().UnixNano())
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exit: // any exit status: the signal ends a process that does not handle signals yet
	case <-time.After(o.killAfter() + killTolerance):
		o.rig.fault("%s: a starting process did not exit in time after SIGTERM", o.name)
		_ = p.cmd.Process.Kill()
		<-p.exit
	}
	o.start()
}

// reload triggers several reloads in a row, some of invalid configurations.
func (o *overlapRouter) reload(rng *rand.Rand) {
	for range 1 + rng.IntN(4) {
		if err := o.drawConfig(rng); err != nil {
			o.rig.fault("%v", err)
		}
		if rng.IntN(3) == 0 {
			if err := os.WriteFile(o.file, []byte(strings.Replace(o.text, `"settings"`, `"settings":[`, 1)), 0o600); err != nil {
				o.rig.fault("%v", err)
			}
		}
		p, _, _ := o.process()
		p.signal(syscall.SIGHUP)
		time.Sleep(randomDuration(rng, 300*time.Millisecond))
	}
	if err := os.WriteFile(o.file, []byte(o.text), 0o600); err != nil {
		o.rig.fault("%v", err)
	}
	p, _, _ := o.process()
	p.signal(syscall.SIGHUP)
	time.Sleep(50 * time.Millisecond)
}

// stall stops the router's process a few times, for less than 0.15 s each.
func (o *overlapRouter) stall(rng *rand.Rand) {
	p, _, _ := o.process()
	for range 1 + rng.IntN(5) {
		p.signal(syscall.SIGSTOP)
		time.Sleep(randomDuration(rng, 140*time.Millisecond))
		p.signal(syscall.SIGCONT)
		time.Sleep(randomDuration(rng, 200*time.Millisecond))
	}
}

// stepClock steps the wall clock of the router's process.
func (o *overlapRouter) stepClock(rng *rand.Rand) {
	_, _, wall := o.process()
	steps := []time.Duration{-clockStep, clockStep, -5 * time.Second, 5 * time.Second}
	if err := wall.Set(steps[rng.IntN(len(steps))]); err != nil {
		o.rig.fault("%v", err)
	}
	time.Sleep(randomDuration(rng, time.Second))
}

// failCalls makes a quarter of the intercepted system calls fail for a while.
func (o *overlapRouter) failCalls(rng *rand.Rand) {
	_, calls, _ := o.process()
	errnos := map[int][]syscall.Errno{
		syscalls.Accept4: {syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENFILE, syscall.EMFILE, syscall.EINTR, syscall.EPROTO},
		syscalls.Connect: {syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ETIMEDOUT},
		syscalls.Socket:  {syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS},
		syscalls.Ppoll:   {syscall.EINTR},
		syscalls.Openat:  {syscall.EMFILE, syscall.ENFILE, syscall.EIO},
		syscalls.Bind:    {syscall.ENOBUFS},
	}
	draw := rand.New(rand.NewPCG(rng.Uint64(), 0)) // not rng, as system calls occur in any order
	calls.Set(func(call int) syscalls.Fault {
		if draw.IntN(4) > 0 {
			return syscalls.Fault{}
		}
		list := errnos[call]
		return syscalls.Fault{Errno: list[draw.IntN(len(list))]}
	})
	time.Sleep(randomDuration(rng, 2*time.Second))
	calls.Set(nil)
}

// cutThatHeals makes half of all workers unreachable for a while and keeps their connections: the
// routers' kernels retransmit what was sent meanwhile.
func (r *overlapRig) cutThatHeals(rng *rand.Rand) bool {
	if r.blackholeErr != nil {
		return false
	}
	duration := randomDuration(rng, 800*time.Millisecond)
	r.onHalfOfAllWorkers(func(k *overlapWorker) {
		k.linkFaults.Add(1)
		k.relay.Set(link.Fault{Blackhole: true, Heals: true})
		time.Sleep(duration)
		k.relay.Set(link.Fault{})
		time.Sleep(maxRelayDelay)
		k.linkFaults.Add(1)
	})
	return true
}

// onHalfOfAllWorkers calls do for every second worker concurrently, except those that have another
// fault.
func (r *overlapRig) onHalfOfAllWorkers(do func(*overlapWorker)) {
	var all sync.WaitGroup
	for i, k := range r.workers {
		if i%2 == 0 && k.busy.TryLock() {
			all.Go(func() {
				defer k.busy.Unlock()
				do(k)
			})
		}
	}
	all.Wait()
}

// logNotRead stops reading the router's log for a while.
func (o *overlapRouter) logNotRead(rng *rand.Rand) {
	p, _, _ := o.process()
	p.logPause.Lock()
	defer p.logPause.Unlock()
	time.Sleep(randomDuration(rng, 2*time.Second))
}

const (
	starvedShare = 0.5 // of a core, for a program built with the race detector
	starvedRate  = 800 // idle connections per second
)

// starvedCrowd limits the router to a part of a core while idle clients connect one after the
// other.
func (o *overlapRouter) starvedCrowd(rng *rand.Rand) {
	p, _, _ := o.process()
	quota, err := cpushare.Hold(p.cmd.Process.Pid, starvedShare)
	if err != nil {
		return // the process has just exited
	}
	defer quota.Lift()
	o.crowds.Add(1)
	defer time.AfterFunc(overlapTolerance, func() { o.crowds.Add(-1) })
	ctx, end := context.WithTimeout(o.rig.t.Context(), randomDuration(rng, 1500*time.Millisecond))
	defer end()
	openCrowd(ctx, o.addr, starvedRate)
}
