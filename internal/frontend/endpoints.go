package frontend

import (
	"encoding/json"
	"fmt"

	"github.com/rs/zerolog"

	"woaddyke/internal/config"
	"woaddyke/internal/scheduler"
	"woaddyke/internal/scheduler/reducer"
	"woaddyke/internal/workers/discovery"
)

// endpointFeed brings discovery's endpoint lists to the loop.
type endpointFeed struct {
	client       *discovery.Client
	workerStarts *discovery.StartTimes
	loop         *scheduler.Loop
	cached       reducer.EndpointsChanged // at the start
	peerDrains   *peerDrains              // nil: only the own discovery counts
}

// decodeCachedEndpoints returns the workers that the configuration names, as discovery last sent them.
func decodeCachedEndpoints(bootstrap *config.Bootstrap) (discovery.EndpointList, error) {
	var cached discovery.EndpointList
	if len(bootstrap.KnownWorkers) == 0 {
		return cached, nil
	}
	if err := json.Unmarshal(bootstrap.KnownWorkers, &cached); err != nil {
		return cached, fmt.Errorf("known workers: %w", err)
	}
	return cached, nil
}

// newEndpointFeed sends the loop the cached list, and makes discovery's client.
func newEndpointFeed(
	bootstrap *config.Bootstrap,
	cached discovery.EndpointList,
	starts *discovery.StartTimes,
	loop *scheduler.Loop,
	log zerolog.Logger,
) *endpointFeed {
	feed := &endpointFeed{workerStarts: starts, loop: loop, cached: cached.EndpointsChanged(starts)}
	feed.cached.Snapshot = true
	feed.cached.Cached = true
	loop.Send(feed.cached)
	watches := bootstrap.Settings["discovery"] != "on_request"
	timeouts := discovery.TimeoutsFor(watches, bootstrap.Schedulers(), drainGrace(bootstrap))
	feed.client = discovery.NewClient(
		bootstrap.Discovery, cached, timeouts, bootstrap.SeedValue, starts, feed.changed, log)
	return feed
}

// changed takes what discovery sends.
func (e *endpointFeed) changed(in reducer.Input) {
	list, ok := in.(reducer.EndpointsChanged)
	if ok && e.peerDrains != nil {
		e.peerDrains.forward(list)
		return
	}
	e.loop.Send(in)
}

// hasUnread tells whether discovery has sent something that the loop hasn't applied: an attempt may have
// been decided on what holds no more. It asks in the order in which a list passes, so that none is missed
// between the two.
func (e *endpointFeed) hasUnread() bool {
	return e.client.HasUnreadData() || e.loop.HasUnappliedLists()
}
