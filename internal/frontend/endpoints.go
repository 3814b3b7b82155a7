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

// endpointFeed forwards discovery's endpoint lists to the loop.
type endpointFeed struct {
	client       *discovery.Client
	workerStarts *discovery.StartTimes
	loop         *scheduler.Loop
	cached       reducer.EndpointsChanged // the endpoint list used until discovery sends one
	peerDrains   *peerDrains              // nil if peers' drain records are not used
}

// decodeCachedEndpoints returns the endpoint list that is cached in the configuration, or an empty one.
func decodeCachedEndpoints(bootstrap *config.Bootstrap) (discovery.EndpointList, error) {
	var cached discovery.EndpointList
	if len(bootstrap.KnownWorkers) == 0 {
		return cached, nil
	}
	if err := json.Unmarshal(bootstrap.KnownWorkers, &cached); err != nil {
		return cached, fmt.Errorf("known: cached endpoint list: %w", err)
	}
	return cached, nil
}

// newEndpointFeed sends the loop the cached list, and creates the discovery client.
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
		bootstrap.Discovery, cached, timeouts, bootstrap.SeedValue, starts, feed.receive, log)
	return feed
}

// receive forwards an input from discovery to the loop. Lists pass through peerDrains if it is set.
func (e *endpointFeed) receive(in reducer.Input) {
	list, ok := in.(reducer.EndpointsChanged)
	if ok && e.peerDrains != nil {
		e.peerDrains.forward(list)
		return
	}
	e.loop.Send(in)
}

// hasUnappliedUpdates tells whether discovery has sent data that the loop hasn't applied: an attempt may
// have been decided on outdated endpoints. A list passes the discovery client before the loop. They are
// checked in this order, so that no list is missed between the two checks.
func (e *endpointFeed) hasUnappliedUpdates() bool {
	return e.client.HasUnreadData() || e.loop.HasUnappliedLists()
}
