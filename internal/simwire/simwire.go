// Package simwire speaks the bench's wire: it reads batches, calls a dispatcher for each scheduler
// and writes what the dispatcher decides.
package simwire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"

	"woaddyke/dispatch"
	"woaddyke/internal/config"
)

const maxIndex = 1 << 12 // the module keeps something for each zone and kind up to the highest number

type batch struct {
	WallNs *int64  `json:"wallNs"`
	Groups []group `json:"groups"`
}

type group struct {
	SchedulerID string            `json:"schedulerId"`
	Items       []json.RawMessage `json:"items"`
}

type item struct {
	M          string         `json:"m"`
	Prng       json.Number    `json:"prng"`
	Setup      map[string]any `json:"setup"`
	Scope      string         `json:"scope"`
	Records    []record       `json:"records"`
	Req        string         `json:"req"`
	Lane       int            `json:"lane"`
	ValidUntil int64          `json:"validUntilNs"`
	Slots      float64        `json:"slots"`
	Memory     float64        `json:"memory"`
	WorkNs     int64          `json:"workNs"`
	By         int            `json:"by"`
	Contents   string         `json:"contents"`
	RouteKey   string         `json:"routeKey"`
	Leg        int            `json:"leg"`
	Worker     string         `json:"worker"`
	How        int            `json:"how"`
	ElapsedNs  int64          `json:"elapsedNs"`
	Over       bool           `json:"over"`
	Level      float64        `json:"level"`
	Topic      int            `json:"topic"`
	HealthInfo []float64      `json:"healthInfo"`
}

type record struct {
	Locality     int    `json:"locality"`
	Worker       string `json:"worker"`
	Availability string `json:"availability"`
	UnitGroup    int    `json:"unitGroup"`
	SinceNs      int64  `json:"sinceNs"`
	ClassOfHost  int    `json:"classOfHost"`
}

type scheduler struct {
	dispatcher *dispatch.Dispatcher
	report     config.ReportFormat
	workers    map[string]int
	tags       map[string]int // workers by the tags that messages carry
	names      []string
	ops        map[string]int
	requests   []string // by op index; empty when the index is free
	attempts   []int    // pushes of each
	freeOps    []int
}

// Serve answers batches until the end of input.
func Serve(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<20)
	w := bufio.NewWriterSize(out, 1<<16)
	hosts := map[string]*scheduler{}
	for n := 1; ; n++ {
		line, err := r.ReadBytes('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("reading batch %d: %w", n, err)
		}
		if len(bytes.TrimSpace(line)) > 0 {
			if e := serveBatch(hosts, line, w); e != nil {
				return fmt.Errorf("batch %d: %w", n, e)
			}
			if e := w.Flush(); e != nil {
				return fmt.Errorf("writing reply %d: %w", n, e)
			}
		}
		if err != nil {
			return nil
		}
	}
}

func serveBatch(hosts map[string]*scheduler, line []byte, w *bufio.Writer) error {
	var b batch
	if err := json.Unmarshal(line, &b); err != nil {
		return fmt.Errorf("malformed: %w", err)
	}
	if b.WallNs == nil {
		return errors.New("no wallNs")
	}
	reply := []byte(`{"groups":[`)
	for i, g := range b.Groups {
		if g.SchedulerID == "" {
			return fmt.Errorf("group %d: no schedulerId", i)
		}
		for _, raw := range g.Items {
			var it item
			if err := json.Unmarshal(raw, &it); err != nil {
				return fmt.Errorf("%s: malformed item: %w", g.SchedulerID, err)
			}
			if err := applyItem(hosts, g.SchedulerID, *b.WallNs, &it); err != nil {
				return fmt.Errorf("%s: %s: %w", g.SchedulerID, it.M, err)
			}
		}
		s := hosts[g.SchedulerID]
		if s == nil {
			continue
		}
		s.dispatcher.AdvanceClock(config.RoundUp(*b.WallNs))
		box := s.outbox(nil)
		if len(box) == 0 {
			continue
		}
		if reply[len(reply)-1] == '}' {
			reply = append(reply, ',')
		}
		reply = fmt.Appendf(reply, `{"schedulerId":%s,"outbox":[%s]}`, quote(g.SchedulerID), box)
	}
	reply = append(reply, "]}\n"...)
	_, err := w.Write(reply)
	return err
}

func quote(s string) []byte {
	b, _ := json.Marshal(s) // a string always marshals
	return b
}

// applyItem turns one item into one call.
func applyItem(hosts map[string]*scheduler, id string, wall int64, it *item) error {
	s := hosts[id]
	switch it.M {
	case "PowerOn":
		return powerOn(hosts, id, wall, it)
	case "Exit":
		delete(hosts, id)
		return nil
	case "":
		return errors.New("item without m")
	}
	if s == nil {
		return errors.New("scheduler was not powered on")
	}
	s.dispatcher.AdvanceClock(config.RoundUp(wall))
	switch it.M {
	case "Topology":
		return s.topology(it)
	case "WorkItem":
		if it.Req == "" {
			return errors.New("no req")
		}
		if _, twice := s.ops[it.Req]; twice {
			return fmt.Errorf("req %s came twice", it.Req)
		}
		spec := dispatch.OpSpec{Category: it.Lane, TTL: config.RoundDown(it.ValidUntil), Slots: max(it.Slots, 1),
			Memory: it.Memory, Work: config.RoundUp(it.WorkNs)}
		if it.RouteKey != "" {
			spec.AffinityKey = config.IdentityHash(it.RouteKey)
		}
		if !s.dispatcher.AddOp(s.opIndex(it.Req), spec) {
			return fmt.Errorf("lane %d is in no settings", it.Lane)
		}
	case "Settled", "UpdateOf", "Dropped":
		op, ok := s.ops[it.Req]
		if !ok {
			return nil // the op ended and was forgotten; late items about it say nothing new
		}
		switch it.M {
		case "Settled":
			s.dispatcher.AttemptEnded(op, it.Leg, outcomeOf(it.How), it.Over)
			if wi, known := s.workers[it.Worker]; known && len(it.HealthInfo) > 0 {
				s.dispatcher.ProbeAnswered(wi, config.RoundDown(it.ElapsedNs), s.report.FromRow(it.HealthInfo))
			}
		case "UpdateOf":
			s.dispatcher.AttemptProgress(op, it.Leg, it.Topic == 1, it.Level)
		case "Dropped":
			s.dispatcher.ClientDisconnected(op)
		}
	case "Message":
		if i, n, ok := config.DecodePeerReport(it.Contents, s.tags); ok {
			s.dispatcher.PeerReport(it.By, i, n)
		}
	case "StatusBack":
		wi, ok := s.workers[it.Worker]
		if !ok {
			return fmt.Errorf("worker %q was in no list", it.Worker)
		}
		if it.How == 10 {
			s.dispatcher.ProbeAnswered(wi, config.RoundDown(it.ElapsedNs), s.report.FromRow(it.HealthInfo))
		} else {
			s.dispatcher.ProbeFailed(wi, config.RoundDown(it.ElapsedNs), outcomeOf(it.How))
		}
	}
	return nil // TickDue, and items of later wires only move the clock
}

func powerOn(hosts map[string]*scheduler, id string, wall int64, it *item) error {
	if it.Setup == nil {
		return errors.New("no setup")
	}
	seed, err := strconv.ParseUint(it.Prng.String(), 10, 64)
	if err != nil {
		if i, e := strconv.ParseInt(it.Prng.String(), 10, 64); e == nil {
			seed = uint64(i)
		} else {
			return fmt.Errorf("prng: %w", err)
		}
	}
	site := config.Flatten(it.Setup)
	site["keys"] = true // ops carry them only where workers keep something
	s := &scheduler{workers: map[string]int{}, tags: map[string]int{}, ops: map[string]int{}, report: config.ReportFormatOf(site)}
	s.dispatcher = dispatch.New(seed, config.DecisionSettings(site))
	s.dispatcher.AdvanceClock(config.RoundUp(wall))
	hosts[id] = s
	return nil
}

func (s *scheduler) topology(it *item) error {
	whole := it.Scope != "changes" && it.Scope != "refused"
	if whole {
		s.dispatcher.BeginSnapshot()
	}
	for _, r := range it.Records {
		if r.Worker == "" {
			return errors.New("record without worker")
		}
		if r.Locality < 0 || r.Locality > maxIndex {
			return fmt.Errorf("locality %d of %s", r.Locality, r.Worker)
		}
		if r.ClassOfHost < 0 || r.ClassOfHost > maxIndex {
			return fmt.Errorf("classOfHost %d of %s", r.ClassOfHost, r.Worker)
		}
		wi, ok := s.workers[r.Worker]
		if !ok {
			wi = len(s.names)
			s.workers[r.Worker] = wi
			s.tags[config.WorkerTag(r.Worker)] = wi
			s.names = append(s.names, r.Worker)
		}
		s.dispatcher.UpsertWorker(wi, dispatch.WorkerEntry{Zone: r.Locality, Group: r.UnitGroup,
			Ready: r.Availability == "ready", StartedAt: config.RoundUp(r.SinceNs),
			IdentityHash: config.IdentityHash(r.Worker), MachineKind: r.ClassOfHost})
	}
	s.dispatcher.EndUpdate()
	return nil
}

func (s *scheduler) opIndex(req string) int {
	i := len(s.requests)
	if n := len(s.freeOps); n > 0 {
		i, s.freeOps = s.freeOps[n-1], s.freeOps[:n-1]
		s.requests[i], s.attempts[i] = req, 0
	} else {
		s.requests, s.attempts = append(s.requests, req), append(s.attempts, 0)
	}
	s.ops[req] = i
	return i
}

func outcomeOf(how int) dispatch.Outcome {
	switch how {
	case 10:
		return dispatch.Succeeded
	case 30:
		return dispatch.Rejected
	case 40:
		return dispatch.TimedOut
	case 50:
		return dispatch.Unreachable
	case 60:
		return dispatch.ConnectionLost
	case 70:
		return dispatch.Cancelled
	case 80:
		return dispatch.NotSent
	}
	return dispatch.Failed // an outcome not known here may have run
}

func (s *scheduler) outbox(box []byte) []byte {
	for {
		next := s.dispatcher.Next()
		switch next.Kind {
		case dispatch.NoDecision:
			return box
		case dispatch.Forget:
			s.forget(next.Op)
			continue
		case dispatch.Push:
			s.attempts[next.Op]++
		}
		if len(box) > 0 {
			box = append(box, ',')
		}
		box = s.appendDecision(box, next)
	}
}

func (s *scheduler) forget(op int) {
	delete(s.ops, s.requests[op])
	s.requests[op] = ""
	s.freeOps = append(s.freeOps, op)
}

// appendDecision writes a decision in the wire's form.
func (s *scheduler) appendDecision(box []byte, next dispatch.Decision) []byte {
	ns := int64(next.Duration) * config.Tenth
	switch next.Kind {
	case dispatch.Push:
		return fmt.Appendf(box, `{"m":"Send","req":%s,"worker":%s,"withinNs":%d}`,
			quote(s.requests[next.Op]), quote(s.names[next.Worker]), ns)
	case dispatch.CancelAttempt:
		return fmt.Appendf(box, `{"m":"Retract","req":%s,"leg":%d}`, quote(s.requests[next.Op]), s.attempts[next.Op]-1)
	case dispatch.Probe:
		return fmt.Appendf(box, `{"m":"Test","worker":%s}`, quote(s.names[next.Worker]))
	case dispatch.ReportToPeer:
		return fmt.Appendf(box, `{"m":"WritePeer","to":%d,"contents":"%s"}`,
			next.Peer, config.EncodePeerReport(s.names[next.Worker], next.InFlight))
	case dispatch.Nack:
		return fmt.Appendf(box, `{"m":"Decline","req":%s,"pauseNs":%d}`, quote(s.requests[next.Op]), ns)
	case dispatch.DeadLetter:
		return fmt.Appendf(box, `{"m":"Surrender","req":%s}`, quote(s.requests[next.Op]))
	case dispatch.SetTimer:
		return fmt.Appendf(box, `{"m":"WakeAt","fromNowNs":%d,"ctx":"due"}`, ns)
	}
	return box
}
