package main

import (
	"fmt"
	"net/http"
	"testing"
)

// A successor, for example of a faulty build, dies after it has taken over from a replica. The predecessor
// must continue alone and regain its vote, and the claims that the successor granted stay valid. With
// records on disk a predecessor once had no vote until it was restarted: after two such successors no
// majority was left, and every op that needs a claim was rejected.
func TestAReplicaRegainsItsVoteIfItsSuccessorDies(t *testing.T) {
	t.Parallel()
	for name, more := range map[string]string{"memory": "", "disk": "path = \"{dir}/copies.db\"\n",
		"agreed": "agreed = true\npath = \"{dir}/copies.db\"\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, b := startReplicas(t, 4, true, more)
			for _, p := range c.Nodes[:2] {
				before := "before " + p.Name
				if status, _ := post(p, "pay", before, "x"); status != http.StatusOK {
					t.Fatalf("%s: %d", before, status)
				}
				console := p.Console
				p.Console = freeAddr(t)
				c.Start(p)
				c.Await("the successor is ready and has its vote", func() bool { return p.Get("/api/ready", nil) && voteSettled(p) })
				if status, _ := post(c.Nodes[3], "pay", "meanwhile "+p.Name, "x"); status != http.StatusOK {
					t.Errorf("while the successor runs: %d", status)
				}
				p.Kill()
				p.Console = console
				c.Await("the predecessor has its vote again", func() bool { return voteSettled(p) })
				for _, id := range []string{before, "meanwhile " + p.Name} {
					for _, at := range []int{0, 3} {
						if status, text := post(c.Nodes[at], "pay", id, "x"); status != http.StatusOK || text != "result of "+id || b.runCount(id) != 1 {
							t.Errorf("%s at %s: %d %q, it ran %d times", id, c.Nodes[at].Name, status, text, b.runCount(id))
						}
					}
				}
			}
			for k := range 9 {
				if status, text := post(c.Nodes[k%4], "pay", fmt.Sprint("after ", k), "x"); status != http.StatusOK {
					t.Errorf("a new op: %d %q", status, text)
				}
			}
		})
	}
}
