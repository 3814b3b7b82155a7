// Command hollow runs many schedulers' part in a cluster in one process, for the lab: the program's own members on sockets of their own,
// without clients, workers or a console. It reads what they are told as JSON from its standard input, says "up" once all have sockets, and
// answers each further line with a line for each member; it ends with its input.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rs/zerolog"

	"woaddyke/internal/cluster/mesh"
)

// told is what the members of one process are told.
type told struct {
	Cluster string   `json:"cluster"`
	Seeds   []string `json:"seeds"`
	Lines   string   `json:"lines"` // further ones of the operator's table
	Chance  uint64   `json:"chance"`
	Members []struct {
		Name      string `json:"name"`
		Listen    string `json:"listen"`
		Advertise string `json:"advertise"`
	} `json:"members"`
}

// state is what one member holds.
type state struct {
	Name    string  `json:"name"`
	Live    int     `json:"live"`
	Digest  string  `json:"digest"`
	WorstMS float64 `json:"worst_late_ms"`
}

const leaveTime = 300 * time.Millisecond // for the members to say that they leave

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "hollow:", err)
		os.Exit(2)
	}
}

func run(from io.Reader, to io.Writer) error {
	in := bufio.NewReader(from)
	line, err := in.ReadBytes('\n')
	if err != nil {
		return fmt.Errorf("what the members are told: %w", err)
	}
	var t told
	if err := json.Unmarshal(line, &t); err != nil {
		return fmt.Errorf("what the members are told: %w", err)
	}
	var all []*mesh.Mesh
	var boards []*board
	quit := make(chan struct{})
	defer func() {
		close(quit)
		for _, m := range all {
			m.Leave()
		}
		time.Sleep(leaveTime)
		for _, m := range all {
			m.Close()
		}
	}()
	for n, who := range t.Members {
		table := mesh.Defaults()
		if err := toml.Unmarshal([]byte(t.Lines), table); err != nil {
			return fmt.Errorf("the operator's lines: %w", err)
		}
		table.Cluster, table.Seeds, table.Listen, table.Advertise = t.Cluster, t.Seeds, who.Listen, who.Advertise
		if err := table.Validate(); err != nil {
			return err
		}
		b := newBoard()
		m, err := mesh.Start(table, mesh.Identity{Name: who.Name, Number: -1, Seed: t.Chance + uint64(n)}, b.host(), zerolog.Nop())
		if err != nil {
			return err
		}
		all, boards = append(all, m), append(boards, b)
	}
	go tellStaff(all, boards, quit)
	fmt.Fprintln(to, "up")
	say := json.NewEncoder(to)
	for {
		if _, err := in.ReadBytes('\n'); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		for n, m := range all {
			s := m.Status()
			if err := say.Encode(state{t.Members[n].Name, s.Self.Live, s.Digest, s.WorstMS}); err != nil {
				return err
			}
		}
	}
}
