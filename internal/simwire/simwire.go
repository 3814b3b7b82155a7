// Package simwire implements the simulator's protocol: it reads batches of inputs, passes them to one
// dispatcher per scheduler, and writes the decisions.
package simwire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"woaddyke/internal/config"
)

const (
	readBufferSize  = 1 << 20
	writeBufferSize = 1 << 16
)

// Serve answers each batch with one reply until the end of the input.
func Serve(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, readBufferSize)
	w := bufio.NewWriterSize(out, writeBufferSize)
	schedulers := map[string]*scheduler{}
	for n := 1; ; n++ {
		line, err := r.ReadBytes('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("reading batch %d: %w", n, err)
		}
		if len(bytes.TrimSpace(line)) > 0 {
			if e := serveBatch(schedulers, line, w); e != nil {
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

// serveBatch applies a batch and writes its reply, which names the schedulers that made a decision.
func serveBatch(schedulers map[string]*scheduler, line []byte, w *bufio.Writer) error {
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
		if err := applyGroup(schedulers, g, *b.WallNs); err != nil {
			return fmt.Errorf("%s: %w", g.SchedulerID, err)
		}
		reply = appendOutbox(reply, g.SchedulerID, schedulers[g.SchedulerID], *b.WallNs)
	}
	reply = append(reply, "]}\n"...)
	_, err := w.Write(reply)
	return err
}

// applyGroup applies the items of one scheduler.
func applyGroup(schedulers map[string]*scheduler, g group, wallNs int64) error {
	for _, raw := range g.Items {
		var it item
		if err := json.Unmarshal(raw, &it); err != nil {
			return fmt.Errorf("malformed item: %w", err)
		}
		if err := applyItem(schedulers, g.SchedulerID, wallNs, &it); err != nil {
			return fmt.Errorf("%s: %w", it.M, err)
		}
	}
	return nil
}

// applyItem applies one item to a scheduler. PowerOn starts the scheduler, Exit ends it.
func applyItem(schedulers map[string]*scheduler, id string, wallNs int64, it *item) error {
	switch it.M {
	case "PowerOn":
		s, err := newScheduler(wallNs, it)
		if err == nil {
			schedulers[id] = s
		}
		return err
	case "Exit":
		delete(schedulers, id)
		return nil
	case "":
		return errors.New("item without m")
	}
	s := schedulers[id]
	if s == nil {
		return errors.New("scheduler was not powered on")
	}
	s.dispatcher.AdvanceClock(config.RoundUp(wallNs))
	if apply, known := inputs[it.M]; known {
		return apply(s, it)
	}
	return nil // TickDue, and kinds of later protocol versions, only advance the clock
}

// appendOutbox appends the decisions of a scheduler to a reply, if there are any. s is nil if the scheduler
// has ended.
func appendOutbox(reply []byte, id string, s *scheduler, wallNs int64) []byte {
	if s == nil {
		return reply
	}
	s.dispatcher.AdvanceClock(config.RoundUp(wallNs))
	outbox := s.outbox(nil)
	if len(outbox) == 0 {
		return reply
	}
	if reply[len(reply)-1] == '}' {
		reply = append(reply, ',')
	}
	return fmt.Appendf(reply, `{"schedulerId":%s,"outbox":[%s]}`, quote(id), outbox)
}

func quote(s string) []byte {
	b, _ := json.Marshal(s) // a string always marshals
	return b
}
