package drainstate

import "testing"

// An update without a boot ID that removes or drains a worker refers to the listed process, so the drain
// record must have the boot ID of the listed endpoint. The failure: the update overwrites the listed endpoint
// before its boot ID is read. Peers then get a record without a boot ID, which excludes no worker.
func TestAnEndpointWithoutABootIDGetsTheListedBootID(t *testing.T) {
	updates := map[string]Endpoint{"gone": {Worker: "w", Removed: true}, "drains": {Worker: "w"}}
	listed := []Endpoint{{Worker: "w", BootID: 50, Ready: true}}
	for name, update := range updates {
		for how, snapshot := range map[string]bool{"in a delta": false, "in a snapshot": true} {
			c := New(7)
			c.Step(1, EndpointsChanged{Revision: 1, Snapshot: true, Endpoints: listed})
			c.Step(2, EndpointsChanged{Revision: 2, Snapshot: snapshot, Endpoints: []Endpoint{update}})
			if r := c.records["w"]; r == nil || r.BootID != 50 || r.Removed != update.Removed {
				t.Errorf("%s %s: %+v", name, how, r)
			}
		}
	}
}
