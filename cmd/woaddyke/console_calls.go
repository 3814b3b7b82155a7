package main

import (
	"net/http"
	"strconv"
	"strings"

	"woaddyke/internal/cluster/replica"
	"woaddyke/internal/observe/console"
)

func (p *process) membersStatus(*http.Request) any { return p.mesh.Status() }

func (p *process) operatorStatus(*http.Request) any { return p.operatorBoard.status() }

func (p *process) replicaStatus(*http.Request) any { return p.replica.Status() }

// recordsPage is one page of the records of the replica.
type recordsPage struct {
	Rows []replica.RecordRow `json:"rows"`
	Next string              `json:"next"` // the key after which the next page begins; empty on the last page
}

// records returns the records of one ID, or one page of all records.
func (p *process) records(r *http.Request) any {
	query := r.URL.Query()
	if id := query.Get("id"); id != "" {
		return recordsPage{Rows: p.replica.Lookup(query.Get("category"), id)}
	}
	var page recordsPage
	page.Rows, page.Next = p.replica.Page(query.Get("after"))
	return page
}

// changeResult is the result of a change that an operator requested.
type changeResult struct {
	Done  bool   `json:"done"`
	Again bool   `json:"again"` // a further request may succeed
	Text  string `json:"text"`
}

// changeReplicas requests another replica set. The request names the epoch of the replica set that the
// operator saw.
func (p *process) changeReplicas(r *http.Request) any {
	query := r.URL.Query()
	epoch, err := strconv.ParseUint(query.Get("turn"), 10, 64)
	if err != nil {
		return changeResult{Text: "turn: the number that /api/copies shows is wanted"}
	}
	result := p.replica.ChangeReplicas(epoch, strings.Split(query.Get("keepers"), ","))
	return changeResult{Done: result.OK, Again: result.Retryable, Text: result.Message}
}

// consoleCalls returns the console's calls for the enabled features.
func (p *process) consoleCalls() (calls []console.Call) {
	if p.mesh != nil {
		calls = append(calls,
			console.Call{Path: "/api/members", Answer: p.membersStatus},
			console.Call{Path: "/api/staff", Answer: p.operatorStatus})
	}
	if p.replica != nil {
		calls = append(calls,
			console.Call{Path: "/api/copies", Answer: p.replicaStatus},
			console.Call{Path: "/api/copies/records", Answer: p.records},
			console.Call{Path: "/api/copies/keepers", Answer: p.changeReplicas, ChangesState: true})
	}
	return calls
}
