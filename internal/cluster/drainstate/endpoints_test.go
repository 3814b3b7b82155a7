package drainstate

import "testing"

// A change that says that a worker is gone, or drains, and not of which start: it is of the process that
// was listed. The entry before was read when the change stood in its place already, so that neighbours
// were told of no process, and bound by nothing.
func TestAChangeWithoutAStartIsOfTheProcessThatWasListed(t *testing.T) {
	changes := map[string]Endpoint{"gone": {Worker: "w", Removed: true}, "drains": {Worker: "w"}}
	listed := []Endpoint{{Worker: "w", BootID: 50, Ready: true}}
	for name, change := range changes {
		for how, whole := range map[string]bool{"by a change": false, "by a whole list": true} {
			c := New(7)
			c.Step(1, EndpointsChanged{Revision: 1, Snapshot: true, Endpoints: listed})
			c.Step(2, EndpointsChanged{Revision: 2, Snapshot: whole, Endpoints: []Endpoint{change}})
			if w := c.records["w"]; w == nil || w.BootID != 50 || w.Removed != change.Removed {
				t.Errorf("%s %s: %+v", name, how, w)
			}
		}
	}
}
