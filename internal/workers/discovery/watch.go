package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Errors that end a watch and that Run handles separately.
var (
	errRejected    = errors.New("call rejected")                                 // discovery is overloaded
	errIdleTimeout = errors.New("no head, heartbeat or complete object in time") // Timeouts.Response or Idle
)

// errEnded reports that discovery closed the watch cleanly.
var errEnded = errors.New("ended")

// watch opens one watch and reads it until it breaks. alive reports whether it received a complete object or
// a heartbeat, which shows that discovery works.
func (c *Client) watch(ctx context.Context) (alive bool, err error) {
	c.watchMu.Lock()
	defer c.watchMu.Unlock()
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	alive, err = c.readWatch(ctx, callCtx, cancel)
	// A call that the idle timer cancelled returns context.Canceled; return the timer's cause instead.
	if cause := context.Cause(callCtx); err != nil && ctx.Err() == nil && cause != nil {
		err = cause
	}
	if err != nil {
		err = fmt.Errorf("watch: %w", err)
	}
	return alive, err
}

// readWatch makes the call with callCtx and applies objects until the watch breaks or ctx ends. If discovery
// becomes unreachable, the connection stays open, so an idle timer cancels callCtx.
func (c *Client) readWatch(
	ctx, callCtx context.Context,
	cancel context.CancelCauseFunc,
) (alive bool, err error) {
	idle := newIdleTimer(c.timeouts.Response, c.HasUnreadData, func() { cancel(errIdleTimeout) })
	defer idle.stop()
	defer c.watchedConn.Store(nil) // before the next watch starts
	body, err := c.openWatch(callCtx)
	if err != nil {
		return false, err
	}
	defer body.Close()
	idle.reset(c.timeouts.Idle)
	reader := &objectReader{
		source:      body,
		remaining:   maxObjectBytes,
		onActivity:  func() { idle.reset(c.timeouts.Idle) },
		onHeartbeat: c.startTimes.recordHeartbeat,
	}
	err = c.readObjects(ctx, reader)
	return reader.alive, err
}

// openWatch requests the changes since the current revision of the list.
func (c *Client) openWatch(ctx context.Context) (io.ReadCloser, error) {
	c.mu.Lock()
	addr, revision := c.addr, c.revision
	c.mu.Unlock()
	url := fmt.Sprintf("http://%s/v1/servers?stream=1&index=%d", addr, revision)
	request, err := http.NewRequestWithContext(c.withConnTrace(ctx), http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	calledAt := time.Now()
	response, err := c.httpClient.Do(request)
	if err != nil {
		return nil, err
	}
	if date, err := http.ParseTime(response.Header.Get("Date")); err == nil {
		c.startTimes.recordDate(date, calledAt)
	}
	switch response.StatusCode {
	case http.StatusOK:
		return response.Body, nil
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		err = fmt.Errorf("status %s: %w", response.Status, errRejected)
	default:
		err = fmt.Errorf("status %s", response.Status)
	}
	response.Body.Close()
	return nil, err
}

// readObjects applies and reports each object until the watch breaks. An object may span several lines.
func (c *Client) readObjects(ctx context.Context, reader *objectReader) error {
	decoder := json.NewDecoder(reader)
	for {
		var event watchEvent
		if err := decoder.Decode(&event); errors.Is(err, io.EOF) {
			return errEnded
		} else if err != nil {
			return err
		}
		list, err := event.endpointList()
		if err != nil {
			return err
		}
		reader.endObject(decoder.Buffered())
		if !c.apply(ctx, list) {
			return ctx.Err()
		}
		c.logList(list)
		c.notify(list.EndpointsChanged(c.startTimes))
		c.startTimes.recordHeartbeat()
	}
}

func (c *Client) logList(list *EndpointList) {
	c.log.Debug().Int64("rev", list.Rev).Bool("whole", list.All).Int("entries", len(list.Targets)).Msg("list")
	for _, t := range list.Targets {
		entry := c.log.Debug().Str("worker", t.UID).Str("state", t.State).Str("zone", t.AZ)
		entry.Int64("boot_ms", t.BootMS).Msg("listed")
	}
}
