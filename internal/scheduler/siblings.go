package scheduler

import (
	"errors"
	"slices"
	"time"

	"woaddyke/dispatch"
	"woaddyke/internal/base/opkey"
	"woaddyke/internal/config"
	"woaddyke/internal/scheduler/reducer"
)

// siblingRetryAfter is the Retry-After for an op that could not be announced to a sibling.
const siblingRetryAfter dispatch.Time = 2000

// Sibling is another process of this scheduler, which admits ops too during a hot restart. Of two processes
// that first announce one key and then call Announced, at least one must get the announcement of the other.
type Sibling interface {
	// Announce announces the key of an op. An error means that the op must not be admitted now.
	Announce(key string, ttl time.Duration) error
	// Announced returns the ops that the sibling has announced since the last call. An error means that there may
	// be others.
	Announced() ([]reducer.AnnouncedID, error)
	// Changed receives a value when the sibling has announced ops, and is closed when the sibling has ended.
	Changed() <-chan struct{}
}

// siblingChanged reports that a sibling has announced ops, or has ended.
type siblingChanged struct {
	sibling Sibling
	ended   bool
}

func (siblingChanged) message() {}

// AddSibling makes the loop exchange the keys of ops with another process. Call it before Run.
func (l *Loop) AddSibling(s Sibling) { l.inbox <- Query(func(State) { l.addSibling(s) }) }

func (l *Loop) addSibling(s Sibling) {
	l.siblings = append(l.siblings, s)
	go l.watchSibling(s)
}

// watchSibling makes the loop read announcements also while it admits no ops.
func (l *Loop) watchSibling(s Sibling) {
	for ended := false; !ended; {
		select {
		case _, open := <-s.Changed():
			ended = !open
		case <-l.done:
			return
		}
		select {
		case l.inbox <- siblingChanged{s, ended}:
		case <-l.done:
			return
		}
	}
}

func (l *Loop) siblingChanged(m siblingChanged) {
	if err := l.reserveAnnounced(); err != nil {
		l.opts.Log.Debug().Err(err).Msg("announcements not read") // they are read before the next op
	}
	if m.ended {
		l.siblings = slices.DeleteFunc(l.siblings, func(s Sibling) bool { return s == m.sibling })
	}
}

// announce announces an op to the siblings and then reserves what they have announced, so that only one
// process attempts an ID. It returns false if the op must not be admitted now. An op that is rejected anyway is
// not announced, as its ID stays unused.
func (l *Loop) announce(s Submit) bool {
	if len(l.siblings) == 0 {
		return true
	}
	now := config.RoundUp(l.opts.Clock.Now())
	if !l.opts.Reducer.Admits(now, s.Op) {
		return true
	}
	key, ttl := opkey.FromID(s.Op.ID), duration(s.Op.TTL-now)
	for _, sibling := range l.siblings {
		if err := sibling.Announce(key, ttl); err != nil {
			l.opts.Log.Debug().Err(err).Str("id", s.Op.ID).Msg("op not announced")
			return false
		}
	}
	if err := l.reserveAnnounced(); err != nil {
		l.opts.Log.Debug().Err(err).Str("id", s.Op.ID).Msg("announcements not read")
		return false
	}
	return true
}

// reserveAnnounced reserves the IDs that the siblings have announced. With more than one sibling, each is
// informed of the ops of the others. An error means that a sibling may have announced other IDs.
func (l *Loop) reserveAnnounced() (failure error) {
	for _, from := range l.siblings {
		ids, err := from.Announced()
		failure = errors.Join(failure, err)
		if len(ids) == 0 {
			continue
		}
		l.step(reducer.IDsAnnounced{IDs: ids})
		for _, to := range l.siblings {
			if to != from {
				forward(to, ids)
			}
		}
	}
	return failure
}

// forward announces the ops of one sibling to another. A third process may miss what can't be announced now.
func forward(to Sibling, ids []reducer.AnnouncedID) {
	for _, id := range ids {
		if to.Announce(id.Key, duration(id.TTL)) != nil {
			return
		}
	}
}
