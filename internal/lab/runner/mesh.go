package runner

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"woaddyke/internal/lab/duplicates"
	"woaddyke/internal/lab/experiment"
	"woaddyke/internal/lab/faultproxy"
	"woaddyke/internal/lab/hollow"
	"woaddyke/internal/lab/ledger"
	"woaddyke/internal/lab/membershipcheck"
	"woaddyke/internal/lab/schedulers"
	"woaddyke/internal/lab/workload"
)

const (
	maxSeeds      = 3                     // seed addresses in each scheduler's configuration
	starveSlice   = 20 * time.Millisecond // a starved scheduler is stopped for a part of each slice
	maxLogLine    = 1 << 20
	votersTimeout = 30 * time.Second // for the replicas of a new cluster to become voters
	// leaveGap is the pause between the end event in the ledger and the stop of the extra schedulers and
	// hollow members. The membership check ignores what happens after the end event. The schedulers' logs
	// have a resolution of 1 ms, so without the pause a view change that the stop causes could seem to precede
	// the end event.
	leaveGap = 20 * time.Millisecond
)

// needsExtraScheduler reports whether an event starts an extra scheduler.
func needsExtraScheduler(t workload.FaultEvent) bool {
	return t.Begins && (t.Kind == "scheduler-twin" || t.Kind == "scheduler-stranger")
}

// meshSize returns the number of mesh indices: first the schedulers, then the extra schedulers that faults
// start, then the hollow members. It also sets firstHollow.
func (r *run) meshSize() int {
	r.firstHollow = r.experiment.Schedulers.Count
	for _, t := range r.workload.FaultEvents {
		if needsExtraScheduler(t) {
			r.firstHollow += len(t.Targets)
		}
	}
	return r.firstHollow + r.experiment.Members.Hollow
}

// setUpMesh opens the links between the members.
func (r *run) setUpMesh() error {
	if !r.experiment.Members.On {
		return nil
	}
	r.firstExtra, r.cuts = r.experiment.Schedulers.Count, map[[2]int]map[int]faultproxy.CutMode{}
	n := r.meshSize()
	var err error
	r.mesh, err = faultproxy.New(n, r.experiment.Seed, func(from, to int, cut faultproxy.CutMode) {
		if from < r.firstExtra && to < r.firstExtra {
			r.ledger.Add(ledger.Event{Kind: ledger.LinkChanged, Scheduler: from + 1, To: to + 1,
				State: []string{"open", "silent", "refusing"}[cut]})
		}
	})
	if err != nil {
		return err
	}
	r.mesh.SetMeter(r.meter)
	m := &r.experiment.Members
	ms := func(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
	for i := range n {
		for j := range n {
			r.mesh.SetConditions(i, j, func(conditions *faultproxy.Conditions) {
				*conditions = faultproxy.Conditions{Loss: m.Loss, Dup: m.Dup, Reorder: m.Reorder,
					Delay: ms(m.DelayMS), Jitter: ms(m.JitterMS), Rate: 1000 * m.RateKBps}
			})
		}
	}
	return nil
}

// setOperatorConfig sets the operator's file of the scheduler with mesh index n: its cluster, its addresses
// and its replica set.
func (r *run) setOperatorConfig(s *schedulers.Scheduler, n int, cluster string) error {
	if r.mesh == nil {
		return nil
	}
	// No other program uses this IP address, so the port stays free while the scheduler is down.
	listen, err := faultproxy.FreePort(r.mesh.BindAddr(n), s.Listen)
	if err != nil {
		return err
	}
	r.mesh.SetListenAddr(n, listen)
	var seeds []string
	for _, addr := range r.seeds() {
		seeds = append(seeds, fmt.Sprintf("%q", addr))
	}
	copiesTable := ""
	if c := &r.experiment.Replication; c.On {
		var replicas []string
		for i := range c.Replicas {
			replicas = append(replicas, fmt.Sprintf("\"n%d\"", i+1))
		}
		copiesTable = fmt.Sprintf("[copies]\nkeepers = [%s]\n%s\n", strings.Join(replicas, ", "), c.Operator)
		if c.ConsensusMembership {
			path, err := filepath.Abs(filepath.Join(r.dir, s.Label()+".copies"))
			if err != nil {
				return err
			}
			copiesTable += fmt.Sprintf("agreed = true\npath = %q\n", path)
		}
	}
	s.SetOperatorConfig(fmt.Sprintf("[members]\ncluster = %q\nlisten = %q\nadvertise = %q\nseeds = [%s]\n"+
		"words = %v\nworkers = %v\n%s\n%s", cluster, listen, r.mesh.AdvertisedAddr(n), strings.Join(seeds, ", "),
		r.experiment.Members.PeerMessages, r.experiment.Members.ShareDrains, r.experiment.Members.Operator, copiesTable))
	return nil
}

// seeds returns the addresses of the members that a starting scheduler contacts first.
func (r *run) seeds() (all []string) {
	for i := range min(maxSeeds, r.firstExtra) {
		all = append(all, r.mesh.AdvertisedAddr(i))
	}
	return all
}

// zoneOf returns the zone of a mesh index.
func (r *run) zoneOf(index int) string {
	if index >= r.firstHollow {
		index -= r.firstHollow
	}
	return r.experiment.Zones[index%len(r.experiment.Zones)]
}

// startHollow starts the process of the hollow members and waits until the views are equal.
func (r *run) startHollow() error {
	if r.experiment.Members.Hollow == 0 {
		return nil
	}
	config := hollow.Config{Cluster: "lab", Seeds: r.seeds(), Lines: r.experiment.Members.Operator,
		Chance: r.experiment.Seed << 16}
	for i := range r.experiment.Members.Hollow {
		n := r.firstHollow + i
		listen, err := faultproxy.FreePort(r.mesh.BindAddr(n))
		if err != nil {
			return err
		}
		r.mesh.SetListenAddr(n, listen)
		config.Members = append(config.Members, hollow.Member{Name: fmt.Sprintf("h%d", i+1),
			Listen: listen.String(), Advertise: r.mesh.AdvertisedAddr(n)})
	}
	p, err := hollow.Start(r.options.HollowProgram, config)
	if err != nil {
		return err
	}
	r.hollow = p
	err = r.awaitEqualViews() // the figures exclude the cost of joining
	r.initialViews = r.distinctViews
	return err
}

// memberView is the part of the response of /api/members that the lab uses.
type memberView struct {
	Digest string
	Self   struct{ Live int }
}

// awaitEqualViews polls the views of all members until all views are equal and contain every member, or
// members.settle_ms is over.
func (r *run) awaitEqualViews() error {
	if r.hollow == nil {
		return nil
	}
	settle := time.Duration(r.experiment.Members.SettleMS * float64(time.Millisecond))
	for limit := time.Now().Add(settle); ; time.Sleep(pollInterval) {
		states, err := r.hollow.States()
		if err != nil {
			return err
		}
		counts, complete := map[string]int{}, true
		count := func(digest string, live int) {
			counts[digest]++
			complete = complete && live == len(states)+len(r.schedulers)-1
		}
		for _, s := range states {
			count(s.Digest, s.Live)
			r.maxHollowLateMS = max(r.maxHollowLateMS, s.WorstMS)
		}
		for _, s := range r.schedulers {
			var view memberView
			if err := s.GetAPI("/api/members", &view); err != nil {
				return err
			}
			count(view.Digest, view.Self.Live)
		}
		if r.distinctViews = len(counts); len(counts) == 1 && complete || time.Now().After(limit) {
			return nil
		}
	}
}

// forEachLink calls a function for each link of scheduler n that a mesh fault hits.
func (r *run) forEachLink(t workload.FaultEvent, n int, do func(from, to int)) {
	for k := range r.firstExtra {
		if k == n || len(t.To) > 0 && !slices.Contains(t.To, k) || len(t.To) == 0 && slices.Contains(t.Targets, k) {
			continue
		}
		if t.Direction != "in" {
			do(n, k)
		}
		if t.Direction != "out" {
			do(k, n)
		}
	}
}

// setLinkCut begins or ends the cut of a link by one fault. A link opens when no fault cuts it any more.
func (r *run) setLinkCut(from, to int, t workload.FaultEvent) {
	link := [2]int{from, to}
	if r.cuts[link] == nil {
		r.cuts[link] = map[int]faultproxy.CutMode{}
	}
	switch {
	case !t.Begins:
		delete(r.cuts[link], t.FaultID)
	case t.ResetStreams:
		r.cuts[link][t.FaultID] = faultproxy.Refusing
	default:
		r.cuts[link][t.FaultID] = faultproxy.Silent
	}
	cut := faultproxy.Open
	for _, c := range r.cuts[link] {
		cut = max(cut, c)
	}
	r.mesh.SetCut(from, to, cut)
}

// applyMeshFault begins or ends a fault of links or of a member. It returns false for other kinds of faults.
func (r *run) applyMeshFault(t workload.FaultEvent, n int) bool {
	duration := time.Duration(t.Duration) * ledger.Tenth
	switch t.Kind {
	case "mesh-cut":
		r.forEachLink(t, n, func(from, to int) { r.setLinkCut(from, to, t) })
	case "mesh-loss", "mesh-delay":
		m := &r.experiment.Members
		r.forEachLink(t, n, func(from, to int) {
			r.mesh.SetConditions(from, to, func(conditions *faultproxy.Conditions) {
				ms := func(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
				switch {
				case t.Kind == "mesh-loss" && t.Begins:
					conditions.Loss = t.Magnitude
				case t.Kind == "mesh-loss":
					conditions.Loss = m.Loss
				case t.Begins:
					conditions.Delay, conditions.Jitter = ms(t.Magnitude), ms(t.Magnitude)
				default:
					conditions.Delay, conditions.Jitter = ms(m.DelayMS), ms(m.JitterMS)
				}
			})
		})
	case "scheduler-starve":
		if t.Begins {
			r.inBackground(func() error { return r.starve(n, t.Magnitude, duration) })
		}
	case "scheduler-takeover":
		if t.Begins {
			r.inBackground(func() error { return r.takeover(n, false) })
		}
	case "takeover-hups":
		if t.Begins {
			r.inBackground(func() error { return r.takeover(n, true) })
		}
	case "scheduler-twin":
		if t.Begins {
			r.inBackground(func() error { return r.runTwin(n, duration) })
		}
	case "scheduler-stranger":
		if t.Begins {
			r.inBackground(func() error { return r.runStranger(n, duration) })
		}
	default:
		return false
	}
	return true
}

// inBackground calls a function in a goroutine that the end of the run waits for, and records its error.
func (r *run) inBackground(do func() error) {
	r.background.Add(1)
	go func() {
		defer r.background.Done()
		if err := do(); err != nil {
			r.addError(err)
		}
	}()
}

// starve stops a scheduler for a part of each starveSlice. The ledger has no events for these stops, since
// none is longer than a slice.
func (r *run) starve(n int, part float64, duration time.Duration) error {
	pid := r.schedulers[n].PID()
	if pid == 0 {
		return nil
	}
	stopped := time.Duration(part * float64(starveSlice))
	for until := time.Now().Add(duration); time.Now().Before(until); {
		syscall.Kill(pid, syscall.SIGSTOP)
		time.Sleep(stopped)
		syscall.Kill(pid, syscall.SIGCONT)
		time.Sleep(starveSlice - stopped)
	}
	return nil
}

// newExtra creates an extra scheduler, which has no clients, at the next free mesh index.
func (r *run) newExtra(name, label, cluster string, n int) (*schedulers.Scheduler, error) {
	r.mu.Lock()
	index := r.firstExtra + r.extraCount
	r.extraCount++
	r.mu.Unlock()
	s, err := schedulers.NewExtra(index, name, label, r.experiment, r.options.Launch, r.emulators[n], r.dir)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.extras = append(r.extras, s)
	r.mu.Unlock()
	return s, r.setOperatorConfig(s, index, cluster)
}

// runTwin stops a scheduler's process, starts another process under the same name at another address, and
// resumes the first one after the duration. This makes a name conflict.
func (r *run) runTwin(n int, duration time.Duration) error {
	// From now on the other members' views have the new process under this name.
	r.ledger.Add(ledger.Event{Kind: ledger.LinkChanged, Scheduler: n + 1, State: "aside"})
	if err := r.schedulers[n].Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	s, err := r.newExtra(fmt.Sprintf("n%d", n+1), fmt.Sprintf("n%d-twin", n+1), "lab", n)
	if err == nil {
		err = s.Start(false)
	}
	time.Sleep(duration)
	if resumeErr := r.schedulers[n].Signal(syscall.SIGCONT); err == nil {
		err = resumeErr
	}
	return err
}

// runStranger runs a scheduler of another cluster that uses this cluster's members as its seeds.
func (r *run) runStranger(n int, duration time.Duration) error {
	s, err := r.newExtra("stranger", fmt.Sprintf("n%d-stranger", n+1), "another cluster", n)
	if err == nil {
		err = s.Start(false)
	}
	time.Sleep(duration)
	s.Kill()
	return err
}

// stopMesh writes the end event and stops the extra schedulers and the hollow members. The schedulers are
// terminated after that.
func (r *run) stopMesh() {
	if r.mesh == nil {
		return
	}
	r.ledger.Add(ledger.Event{Kind: ledger.LinkChanged, Scheduler: 1, State: "end"})
	time.Sleep(leaveGap)
	for _, s := range r.extras {
		s.Kill()
	}
	if r.hollow != nil {
		if err := r.hollow.Stop(); err != nil {
			r.addError(err)
		}
	}
}

// logLine is a line of a scheduler's log about a membership change or a vote.
type logLine struct {
	Time    int64  `json:"time"`
	Message string `json:"message"`
	Member  string `json:"member"`
	State   string `json:"state"`
	By      string `json:"by"`
	Private bool   `json:"private"`
	What    string `json:"what"`
}

// readMemberLogs reads the membership changes and the votes from the schedulers' logs.
func (r *run) readMemberLogs() error {
	for n := range r.schedulers {
		f, err := os.Open(filepath.Join(r.dir, r.schedulers[n].Label()+".log"))
		if err != nil {
			return err
		}
		in := bufio.NewScanner(f)
		in.Buffer(nil, maxLogLine)
		for in.Scan() {
			var l logLine
			memberChanged := strings.Contains(in.Text(), `"member changed"`)
			if !memberChanged && !strings.Contains(in.Text(), `"votes"`) || json.Unmarshal(in.Bytes(), &l) != nil {
				continue
			}
			if !memberChanged {
				r.votes = append(r.votes, duplicates.Vote{Keeper: n + 1, At: r.ledger.FromWallClock(time.UnixMilli(l.Time))})
				continue
			}
			ev := ledger.Event{Kind: ledger.MemberView, Scheduler: n + 1, Name: l.Member, State: l.State, Text: l.By,
				From: r.ledger.FromWallClock(time.UnixMilli(l.Time))}
			if l.Private {
				ev.Verdict = "private"
			}
			r.ledger.Add(ev)
		}
		f.Close()
		if err := in.Err(); err != nil {
			return err
		}
	}
	return nil
}

// viewLimits returns the limits by which the views are judged.
func viewLimits(e *experiment.Experiment) membershipcheck.Limits {
	m := &e.Members
	return membershipcheck.Limits{Count: e.Schedulers.Count, Pause: experiment.FromMilliseconds(m.PauseMS),
		Detect: experiment.FromMilliseconds(m.DetectMS), Settle: experiment.FromMilliseconds(m.SettleMS), Grace: experiment.FromMilliseconds(m.GraceMS)}
}
