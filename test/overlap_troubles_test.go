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

// trouble makes one trouble, drawn, to somebody who has none of this kind, and takes it away.
func (r *overlapRig) trouble(rng *rand.Rand) {
	names := slices.DeleteFunc(slices.Sorted(maps.Keys(overlapTroubles)), func(name string) bool { return name == "vanish" && r.cantVanish != nil })
	name := names[rng.IntN(len(names))]
	done := overlapTroubles[name](r, rng)
	if done {
		r.mu.Lock()
		r.played[name]++
		r.mu.Unlock()
	}
	time.Sleep(time.Duration(rng.IntN(150)) * time.Millisecond)
}

// overlapTroubles tell whether they found somebody to trouble.
var overlapTroubles = map[string]func(*overlapRig, *rand.Rand) bool{
	"restart":  onRouter((*overlapRouter).restart),
	"kill":     onRouter((*overlapRouter).kill),
	"upgrade":  onRouter((*overlapRouter).upgrade),
	"reload":   onRouter((*overlapRouter).reload),
	"stall":    onRouter((*overlapRouter).stall),
	"clock":    onRouter((*overlapRouter).stepClock),
	"syscalls": onRouter((*overlapRouter).failCalls),
	"agent silent": onRouter(func(o *overlapRouter, rng *rand.Rand) {
		o.outOfHearing(time.Now()) // it is told 6 s later at the latest
		o.agent.silence()
		time.Sleep(some(rng, time.Second))
	}),
	"agent down": onRouter(func(o *overlapRouter, rng *rand.Rand) {
		d := some(rng, 3*time.Second)
		o.outOfHearing(time.Now().Add(d + loaded))
		up := o.agent.stop()
		time.Sleep(d)
		up()
		o.outOfHearing(time.Now())
	}),
	"agent refuses": onRouter(func(o *overlapRouter, rng *rand.Rand) {
		d := some(rng, 2*time.Second)
		o.outOfHearing(time.Now().Add(d + loaded))
		o.agent.refuse(true)
		o.agent.CloseClientConnections()
		time.Sleep(d)
		o.agent.refuse(false)
		o.outOfHearing(time.Now())
	}),
	"agent resets": onRouter(func(o *overlapRouter, _ *rand.Rand) { o.agent.CloseClientConnections() }),
	"leave":        onWorker((*overlapWorker).leave),
	"by hand":      (*overlapRig).byHand,
	"crowd":        (*overlapRig).crowd,
	"twice":        withManner(twice),
	"forget":       withManner(forgets),
	"pieces":       withLink(link.Fault{Pieces: true}),
	"reset link": onWorker(func(k *overlapWorker, _ *overlapRig, _ *rand.Rand) {
		k.linkFaults.Add(1)
		defer k.linkFaults.Add(1)
		k.relay.Reset()
	}),
	"hang":         withManner(hangs),
	"fail":         withManner(fails),
	"turn away":    withManner(turnsAway),
	"reset":        withManner(resets),
	"break off":    withManner(breaksOff),
	"half answer":  withManner(halfAnswer),
	"slow link":    withLink(link.Fault{Delay: 60 * time.Millisecond}),
	"refuse":       withLink(link.Fault{Refuse: true}),
	"vanish":       withLink(link.Fault{Blackhole: true}),
	"answers lost": withLink(link.Fault{Drop: [2]bool{false, true}}),
	"sends lost":   withLink(link.Fault{Drop: [2]bool{true, false}}),
	"all lost":     withLink(link.Fault{Drop: [2]bool{true, true}}),
	"open connections silent": onWorker(func(k *overlapWorker, _ *overlapRig, _ *rand.Rand) {
		k.linkFaults.Add(1)
		k.relay.Silence()
		time.Sleep(answerUnderWay) // for requests that had passed and are just beginning: their answers fall silent as well
		k.linkFaults.Add(1)
	}),
	"half of all workers lost": func(r *overlapRig, rng *rand.Rand) bool {
		r.onHalfOfAllWorkers(withLinkOf(link.Fault{Drop: [2]bool{true, true}}, some(rng, 2*time.Second)))
		return true
	},
	"cut that heals": (*overlapRig).cutThatHeals,
	"log not read":   onRouter((*overlapRouter).logNotRead),
	"starved crowd":  onRouter((*overlapRouter).starvedCrowd),
	"signals":        onRouter((*overlapRouter).signalsInSeries),
	"end of a start": onRouter((*overlapRouter).endOfAStart),
	"half of all writers hang": func(r *overlapRig, rng *rand.Rand) bool {
		for _, k := range r.workers[overlapReaders : overlapReaders+overlapWriters/2] {
			if k.busy.TryLock() {
				defer k.busy.Unlock()
				k.manner.Store(int32(hangs))
				defer k.manner.Store(int32(well))
			}
		}
		time.Sleep(some(rng, 1500*time.Millisecond))
		return true
	},
}

// some is a time up to so much, an eighth of it at least.
func some(rng *rand.Rand, most time.Duration) time.Duration {
	return most/8 + time.Duration(rng.Int64N(int64(most-most/8)))
}

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

func withManner(m manner) func(*overlapRig, *rand.Rand) bool {
	return onWorker(func(k *overlapWorker, _ *overlapRig, rng *rand.Rand) {
		k.manner.Store(int32(m))
		time.Sleep(some(rng, 2*time.Second))
		k.manner.Store(int32(well))
	})
}

func withLink(f link.Fault) func(*overlapRig, *rand.Rand) bool {
	return onWorker(func(k *overlapWorker, _ *overlapRig, rng *rand.Rand) {
		withLinkOf(f, some(rng, 2*time.Second))(k)
	})
}

// withLinkOf gives the way to a worker a fault for so long.
func withLinkOf(f link.Fault, lasts time.Duration) func(*overlapWorker) {
	return func(k *overlapWorker) {
		k.linkFaults.Add(1)
		defer k.linkFaults.Add(1)
		k.relay.Set(f)
		if f.Refuse {
			k.relay.Cut()
		}
		time.Sleep(lasts)
		k.relay.Set(link.Fault{})
		k.relay.Cut() // what was silent is reset once it is back
	}
}

// leave has a worker drain, go and come back as another process.
func (k *overlapWorker) leave(r *overlapRig, rng *rand.Rand) {
	r.tell(k, "terminating")
	time.Sleep(some(rng, 3*time.Second))
	r.tell(k, "terminated")
	time.Sleep(some(rng, time.Second))
	r.tell(k, "in_service")
}

func (o *overlapRouter) terminate(p *program) {
	o.termAt.Store(time.Now().UnixNano())
	p.signal(syscall.SIGTERM)
	o.ended(p)
}

func (o *overlapRouter) restart(*rand.Rand) {
	p, _, _ := o.process()
	o.terminate(p)
	o.start()
}

// upgrade starts the next process beside the one that runs, and ends that one.
func (o *overlapRouter) upgrade(*rand.Rand) {
	p, _, _ := o.process()
	o.start()
	p.signal(syscall.SIGTERM) // new connections are dealt to the next one
	o.ended(p)
}

func (o *overlapRouter) kill(rng *rand.Rand) {
	p, _, _ := o.process()
	o.termAt.Store(1) // long ago: nobody comes any more
	o.kills.Add(1)
	for _, id := range o.rig.judge.Open(o.name) {
		o.rig.judge.Excuse(id)
	}
	p.signal(syscall.SIGKILL)
	<-p.exit
	for _, id := range o.rig.judge.Open(o.name) {
		o.rig.judge.Excuse(id)
	}
	time.Sleep(some(rng, 500*time.Millisecond))
	o.start()
}

// signalsInSeries ends the process by several signals of each kind, close together, with other deadlines told by them.
func (o *overlapRouter) signalsInSeries(rng *rand.Rand) {
	if err := o.draw(rng); err != nil {
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
		_ = p.cmd.Process.Signal([]syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGUSR1}[rng.IntN(3)]) // it may have ended
	}
	o.ended(p)
	o.start()
}

// endOfAStart ends a process that has just been started, ready or not.
func (o *overlapRouter) endOfAStart(rng *rand.Rand) {
	p, _, _ := o.process()
	o.terminate(p)
	p = o.launch()
	time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
	o.termAt.Store(time.Now().UnixNano())
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exit: // also by the signal itself, before the program hears any
	case <-time.After(o.killAfter() + killSlack):
		o.rig.fault("%s: a start did not end in time", o.name)
		_ = p.cmd.Process.Kill()
		<-p.exit
	}
	o.start()
}

// reload has configurations read again in a row, some of which make no sense.
func (o *overlapRouter) reload(rng *rand.Rand) {
	for range 1 + rng.IntN(4) {
		if err := o.draw(rng); err != nil {
			o.rig.fault("%v", err)
		}
		if rng.IntN(3) == 0 {
			if err := os.WriteFile(o.file, []byte(strings.Replace(o.text, `"settings"`, `"settings":[`, 1)), 0o600); err != nil {
				o.rig.fault("%v", err)
			}
		}
		p, _, _ := o.process()
		p.signal(syscall.SIGHUP)
		time.Sleep(some(rng, 300*time.Millisecond))
	}
	if err := os.WriteFile(o.file, []byte(o.text), 0o600); err != nil {
		o.rig.fault("%v", err)
	}
	p, _, _ := o.process()
	p.signal(syscall.SIGHUP)
	time.Sleep(50 * time.Millisecond)
}

// stall holds the router up for up to 0.15 s, a few times.
func (o *overlapRouter) stall(rng *rand.Rand) {
	p, _, _ := o.process()
	for range 1 + rng.IntN(5) {
		p.signal(syscall.SIGSTOP)
		time.Sleep(some(rng, 140*time.Millisecond))
		p.signal(syscall.SIGCONT)
		time.Sleep(some(rng, 200*time.Millisecond))
	}
}

func (o *overlapRouter) stepClock(rng *rand.Rand) {
	_, _, wall := o.process()
	steps := []time.Duration{-hour, hour, -5 * time.Second, 5 * time.Second}
	if err := wall.Set(steps[rng.IntN(len(steps))]); err != nil {
		o.rig.fault("%v", err)
	}
	time.Sleep(some(rng, time.Second))
}

// failCalls makes a part of some system calls fail.
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
	draw := rand.New(rand.NewPCG(rng.Uint64(), 0)) // for the calls, which come in any order
	calls.Set(func(call int) syscalls.Fault {
		if draw.IntN(4) > 0 {
			return syscalls.Fault{}
		}
		list := errnos[call]
		return syscalls.Fault{Errno: list[draw.IntN(len(list))]}
	})
	time.Sleep(some(rng, 2*time.Second))
	calls.Set(nil)
}

// cutThatHeals has half of all workers vanish, and come back with their connections as they were: what was sent meanwhile is sent
// again by the routers' systems.
func (r *overlapRig) cutThatHeals(rng *rand.Rand) bool {
	if r.cantVanish != nil {
		return false
	}
	lasts := some(rng, 800*time.Millisecond)
	r.onHalfOfAllWorkers(func(k *overlapWorker) {
		k.linkFaults.Add(1)
		k.relay.Set(link.Fault{Blackhole: true, Heals: true})
		time.Sleep(lasts)
		k.relay.Set(link.Fault{})
		time.Sleep(answerUnderWay)
		k.linkFaults.Add(1)
	})
	return true
}

// onHalfOfAllWorkers does something to every second worker at once, but to those that have another trouble.
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

// logNotRead has nobody read the router's log for a while.
func (o *overlapRouter) logNotRead(rng *rand.Rand) {
	p, _, _ := o.process()
	p.pause.Lock()
	defer p.pause.Unlock()
	time.Sleep(some(rng, 2*time.Second))
}

const (
	starvedShare = 0.5 // of a core, of a program with the race detector
	starvedRate  = 800 // idle connections a second
)

// starvedCrowd gives the router a part of a core, while idle clients come one after the other.
func (o *overlapRouter) starvedCrowd(rng *rand.Rand) {
	p, _, _ := o.process()
	quota, err := cpushare.Hold(p.cmd.Process.Pid, starvedShare)
	if err != nil {
		return // it has just ended
	}
	defer quota.Lift()
	o.crowds.Add(1)
	defer time.AfterFunc(overlapSlack, func() { o.crowds.Add(-1) })
	ctx, end := context.WithTimeout(o.rig.t.Context(), some(rng, 1500*time.Millisecond))
	defer end()
	crowdAt(ctx, o.addr, starvedRate)
}
