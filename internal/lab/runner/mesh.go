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
	mostSeeds   = 3                     // that each scheduler is told of
	starveSlice = 20 * time.Millisecond // of which one that is starved stands still for a part
	longestLine = 1 << 20
	votesTime   = 30 * time.Second      // for the keepers of a cluster that starts
	endTime     = 20 * time.Millisecond // between the last judgement and the first leave: logs have whole milliseconds
)

// extra tells whether a turn needs a place of its own beside the schedulers.
func extra(t workload.Turn) bool {
	return t.On && (t.Kind == "scheduler-twin" || t.Kind == "scheduler-stranger")
}

// places counts the places in the mesh: schedulers, those that stand beside them for a while, hollow ones.
func (r *run) places() int {
	r.hollowAt = r.plan.Schedulers.Count
	for _, t := range r.script.Turns {
		if extra(t) {
			r.hollowAt += len(t.Targets)
		}
	}
	return r.hollowAt + r.plan.Members.Hollow
}

// setUpMesh opens the links between schedulers.
func (r *run) setUpMesh() error {
	if !r.plan.Members.On {
		return nil
	}
	r.spare, r.cuts = r.plan.Schedulers.Count, map[[2]int]map[int]faultproxy.Cut{}
	n := r.places()
	var err error
	r.mesh, err = faultproxy.New(n, r.plan.Seed, func(from, to int, cut faultproxy.Cut) {
		if from < r.spare && to < r.spare {
			r.book.Add(ledger.Event{Kind: ledger.Way, Scheduler: from + 1, To: to + 1,
				State: []string{"open", "silent", "refusing"}[cut]})
		}
	})
	if err != nil {
		return err
	}
	r.mesh.Count(r.meter)
	m := &r.plan.Members
	ms := func(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
	for i := range n {
		for j := range n {
			r.mesh.Weather(i, j, func(s *faultproxy.Sky) {
				*s = faultproxy.Sky{Loss: m.Loss, Dup: m.Dup, Reorder: m.Reorder, Delay: ms(m.DelayMS), Jitter: ms(m.JitterMS), Rate: 1000 * m.RateKBps}
			})
		}
	}
	return nil
}

// offer writes what the n-th scheduler is told of its cluster.
func (r *run) offer(s *schedulers.Scheduler, n int, cluster string) error {
	if r.mesh == nil {
		return nil
	}
	// A port of its own address: nobody else takes it while the scheduler is down.
	at, err := faultproxy.Free(r.mesh.Bound(n), s.Listen)
	if err != nil {
		return err
	}
	r.mesh.Listens(n, at)
	var seeds []string
	for _, at := range r.seeds() {
		seeds = append(seeds, fmt.Sprintf("%q", at))
	}
	copies := ""
	if c := &r.plan.Copies; c.On {
		var keepers []string
		for i := range c.Keepers {
			keepers = append(keepers, fmt.Sprintf("\"n%d\"", i+1))
		}
		copies = fmt.Sprintf("[copies]\nkeepers = [%s]\n%s\n", strings.Join(keepers, ", "), c.Operator)
		if c.Agreed {
			path, err := filepath.Abs(filepath.Join(r.dir, s.Label()+".copies"))
			if err != nil {
				return err
			}
			copies += fmt.Sprintf("agreed = true\npath = %q\n", path)
		}
	}
	s.Offer(fmt.Sprintf("[members]\ncluster = %q\nlisten = %q\nadvertise = %q\nseeds = [%s]\nwords = %v\nworkers = %v\n%s\n%s", cluster, at, r.mesh.Told(n),
		strings.Join(seeds, ", "), r.plan.Members.Words, r.plan.Members.Workers, r.plan.Members.Operator, copies))
	return nil
}

// seeds are whom a scheduler that starts asks first.
func (r *run) seeds() (all []string) {
	for i := range min(mostSeeds, r.spare) {
		all = append(all, r.mesh.Told(i))
	}
	return all
}

// zoneOf is the zone of a place in the mesh.
func (r *run) zoneOf(place int) string {
	if place >= r.hollowAt {
		place -= r.hollowAt
	}
	return r.plan.Zones[place%len(r.plan.Zones)]
}

// startHollow starts the hollow schedulers.
func (r *run) startHollow() error {
	if r.plan.Members.Hollow == 0 {
		return nil
	}
	t := hollow.Told{Cluster: "lab", Seeds: r.seeds(), Lines: r.plan.Members.Operator, Chance: r.plan.Seed << 16}
	for i := range r.plan.Members.Hollow {
		n := r.hollowAt + i
		at, err := faultproxy.Free(r.mesh.Bound(n))
		if err != nil {
			return err
		}
		r.mesh.Listens(n, at)
		t.Members = append(t.Members, hollow.Member{Name: fmt.Sprintf("h%d", i+1), Listen: at.String(), Advertise: r.mesh.Told(n)})
	}
	p, err := hollow.Start(r.stage.Hollow, t)
	if err != nil {
		return err
	}
	r.hollow = p
	err = r.hold() // what joining costs is apart from the figures
	r.viewsFirst = r.views
	return err
}

// view is what a member holds, in the program's published form.
type view struct {
	Digest string
	Self   struct{ Live int }
}

// hold asks all members what they hold, until all hold one another and the same, or the time is over in which views have to be the same.
func (r *run) hold() error {
	if r.hollow == nil {
		return nil
	}
	settle := time.Duration(r.plan.Members.SettleMS * float64(time.Millisecond))
	for limit := time.Now().Add(settle); ; time.Sleep(changeEvery) {
		states, err := r.hollow.States()
		if err != nil {
			return err
		}
		held, whole := map[string]int{}, true
		note := func(digest string, live int) {
			held[digest]++
			whole = whole && live == len(states)+len(r.schedulers)-1
		}
		for _, s := range states {
			note(s.Digest, s.Live)
			r.hollowLate = max(r.hollowLate, s.WorstMS)
		}
		for _, s := range r.schedulers {
			var of view
			if err := s.Ask("/api/members", &of); err != nil {
				return err
			}
			note(of.Digest, of.Self.Live)
		}
		if r.views = len(held); len(held) == 1 && whole || time.Now().After(limit) {
			return nil
		}
	}
}

// links are the ordered pairs that a trouble of the mesh hits at one scheduler.
func (r *run) links(t workload.Turn, n int, do func(from, to int)) {
	for k := range r.spare {
		if k == n || len(t.To) > 0 && !slices.Contains(t.To, k) || len(t.To) == 0 && slices.Contains(t.Targets, k) {
			continue
		}
		if t.Way != "in" {
			do(n, k)
		}
		if t.Way != "out" {
			do(k, n)
		}
	}
}

// cut cuts a link for one trouble, or ends that: a link is open only when no trouble cuts it any more.
func (r *run) cut(from, to int, t workload.Turn) {
	link := [2]int{from, to}
	if r.cuts[link] == nil {
		r.cuts[link] = map[int]faultproxy.Cut{}
	}
	switch {
	case !t.On:
		delete(r.cuts[link], t.Fault)
	case t.Refuses:
		r.cuts[link][t.Fault] = faultproxy.Refusing
	default:
		r.cuts[link][t.Fault] = faultproxy.Silent
	}
	how := faultproxy.Open
	for _, c := range r.cuts[link] {
		how = max(how, c)
	}
	r.mesh.Cut(from, to, how)
}

// meshTrouble is one on the links or of a member; false for one of another kind.
func (r *run) meshTrouble(t workload.Turn, n int) bool {
	span := time.Duration(t.For) * ledger.Tenth
	switch t.Kind {
	case "mesh-cut":
		r.links(t, n, func(from, to int) { r.cut(from, to, t) })
	case "mesh-loss", "mesh-delay":
		m := &r.plan.Members
		r.links(t, n, func(from, to int) {
			r.mesh.Weather(from, to, func(s *faultproxy.Sky) {
				ms := func(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
				switch {
				case t.Kind == "mesh-loss" && t.On:
					s.Loss = t.Size
				case t.Kind == "mesh-loss":
					s.Loss = m.Loss
				case t.On:
					s.Delay, s.Jitter = ms(t.Size), ms(t.Size)
				default:
					s.Delay, s.Jitter = ms(m.DelayMS), ms(m.JitterMS)
				}
			})
		})
	case "scheduler-starve":
		if t.On {
			r.beside(func() error { return r.starve(n, t.Size, span) })
		}
	case "scheduler-takeover":
		if t.On {
			r.beside(func() error { return r.takeover(n, false) })
		}
	case "takeover-hups":
		if t.On {
			r.beside(func() error { return r.takeover(n, true) })
		}
	case "scheduler-twin":
		if t.On {
			r.beside(func() error { return r.twin(n, span) })
		}
	case "scheduler-stranger":
		if t.On {
			r.beside(func() error { return r.stranger(n, span) })
		}
	default:
		return false
	}
	return true
}

// beside does what takes a while.
func (r *run) beside(do func() error) {
	r.work.Add(1)
	go func() {
		defer r.work.Done()
		if err := do(); err != nil {
			r.fail(err)
		}
	}()
}

// starve has a scheduler stand still for a part of each short slice. The ledger has no event for each: none is longer than a slice.
func (r *run) starve(n int, part float64, span time.Duration) error {
	p := r.schedulers[n].PID()
	if p == 0 {
		return nil
	}
	still := time.Duration(part * float64(starveSlice))
	for until := time.Now().Add(span); time.Now().Before(until); {
		syscall.Kill(p, syscall.SIGSTOP)
		time.Sleep(still)
		syscall.Kill(p, syscall.SIGCONT)
		time.Sleep(starveSlice - still)
	}
	return nil
}

// place makes a scheduler without clients at a place of its own.
func (r *run) place(name, label, cluster string, n int) (*schedulers.Scheduler, error) {
	r.mu.Lock()
	at := r.spare + r.placed
	r.placed++
	r.mu.Unlock()
	s, err := schedulers.Twin(at, name, label, r.plan, r.stage.Make, r.agents[n], r.dir)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.twins = append(r.twins, s)
	r.mu.Unlock()
	return s, r.offer(s, at, cluster)
}

// twin stops a scheduler, starts another process of its name elsewhere and wakes the first one up.
func (r *run) twin(n int, span time.Duration) error {
	// Whom the others hold under this name is the later one from here on.
	r.book.Add(ledger.Event{Kind: ledger.Way, Scheduler: n + 1, State: "aside"})
	if err := r.schedulers[n].Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	s, err := r.place(fmt.Sprintf("n%d", n+1), fmt.Sprintf("n%d-twin", n+1), "lab", n)
	if err == nil {
		err = s.Start(false)
	}
	time.Sleep(span)
	if went := r.schedulers[n].Signal(syscall.SIGCONT); err == nil {
		err = went
	}
	return err
}

// stranger starts a scheduler of another cluster that asks this one's members for a while.
func (r *run) stranger(n int, span time.Duration) error {
	s, err := r.place("stranger", fmt.Sprintf("n%d-stranger", n+1), "another cluster", n)
	if err == nil {
		err = s.Start(false)
	}
	time.Sleep(span)
	s.Kill()
	return err
}

// endMesh ends what stands beside the schedulers, before they are told to end themselves.
func (r *run) endMesh() {
	if r.mesh == nil {
		return
	}
	r.book.Add(ledger.Event{Kind: ledger.Way, Scheduler: 1, State: "end"})
	time.Sleep(endTime)
	for _, s := range r.twins {
		s.Kill()
	}
	if r.hollow != nil {
		if err := r.hollow.End(); err != nil {
			r.fail(err)
		}
	}
}

// heldLine is a line of a scheduler's log.
type heldLine struct {
	Time    int64  `json:"time"`
	Message string `json:"message"`
	Member  string `json:"member"`
	State   string `json:"state"`
	By      string `json:"by"`
	Private bool   `json:"private"`
	What    string `json:"what"`
}

// heldOf reads from the schedulers' logs what they held of one another.
func (r *run) heldOf() error {
	for n := range r.schedulers {
		f, err := os.Open(filepath.Join(r.dir, r.schedulers[n].Label()+".log"))
		if err != nil {
			return err
		}
		in := bufio.NewScanner(f)
		in.Buffer(nil, longestLine)
		for in.Scan() {
			var l heldLine
			changed := strings.Contains(in.Text(), `"member changed"`)
			if !changed && !strings.Contains(in.Text(), `"votes"`) || json.Unmarshal(in.Bytes(), &l) != nil {
				continue
			}
			if !changed {
				r.votes = append(r.votes, duplicates.Vote{Keeper: n + 1, At: r.book.Clock(time.UnixMilli(l.Time))})
				continue
			}
			ev := ledger.Event{Kind: ledger.Held, Scheduler: n + 1, Name: l.Member, State: l.State, Text: l.By,
				From: r.book.Clock(time.UnixMilli(l.Time))}
			if l.Private {
				ev.Verdict = "private"
			}
			r.book.Add(ev)
		}
		f.Close()
		if err := in.Err(); err != nil {
			return err
		}
	}
	return nil
}

// viewTerms are what views are judged by.
func viewTerms(e *experiment.Experiment) membershipcheck.Terms {
	m := &e.Members
	return membershipcheck.Terms{Count: e.Schedulers.Count, Pause: experiment.MS(m.PauseMS), Detect: experiment.MS(m.DetectMS), Settle: experiment.MS(m.SettleMS),
		Grace: experiment.MS(m.GraceMS)}
}
