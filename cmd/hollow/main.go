// Command hollow runs the membership of many schedulers in one process, for the lab: the program's own mesh
// on sockets of their own, without clients, workers or a console. It reads their configuration as one line
// of JSON from standard input, prints "up" once all have sockets, and answers each further line with the
// state of each member in a line of its own. It ends with its input.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/cluster/mesh"
	"woaddyke/internal/config/features"
)

// config configures the members of one process.
type config struct {
	Cluster string         `json:"cluster"`
	Seeds   []string       `json:"seeds"`
	Lines   string         `json:"lines"` // further lines of the table members
	Seed    uint64         `json:"chance"`
	Members []memberConfig `json:"members"`
}

type memberConfig struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Advertise string `json:"advertise"`
}

// memberState is what one member reports.
type memberState struct {
	Name    string  `json:"name"`
	Live    int     `json:"live"`
	Digest  string  `json:"digest"`
	WorstMS float64 `json:"worst_late_ms"`
}

// member is one scheduler of the process.
type member struct {
	name  string
	mesh  *mesh.Mesh
	board *board
}

const leaveTimeout = 300 * time.Millisecond // for the members to notify others that they leave

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
	var c config
	if err := json.Unmarshal(line, &c); err != nil {
		return fmt.Errorf("what the members are told: %w", err)
	}
	var members []*member
	quit := make(chan struct{})
	defer func() {
		close(quit)
		leave(members)
	}()
	for number := range c.Members {
		m, err := startMember(&c, number)
		if err != nil {
			return err
		}
		members = append(members, m)
	}
	go broadcastOperatorStates(members, quit)
	fmt.Fprintln(to, "up")
	return answer(in, to, members)
}

// startMember starts a member by its number in the configuration.
func startMember(c *config, number int) (*member, error) {
	who := c.Members[number]
	table := mesh.Defaults()
	if err := features.Decode([]byte(c.Lines), table); err != nil {
		return nil, fmt.Errorf("the operator's lines: %w", err)
	}
	table.Cluster = c.Cluster
	table.Seeds = c.Seeds
	table.Listen = who.Listen
	table.Advertise = who.Advertise
	if err := table.Validate(); err != nil {
		return nil, err
	}
	identity := mesh.Identity{Name: who.Name, Number: -1, Seed: c.Seed + uint64(number)}
	b := newBoard()
	m, err := mesh.Start(table, identity, b.host(), zerolog.Nop())
	if err != nil {
		return nil, err
	}
	return &member{name: who.Name, mesh: m, board: b}, nil
}

// leave ends all members, after they had the time to notify others.
func leave(members []*member) {
	for _, m := range members {
		m.mesh.Leave()
	}
	time.Sleep(leaveTimeout)
	for _, m := range members {
		m.mesh.Close()
	}
}

// answer answers each line of the input with the states of all members.
func answer(in *bufio.Reader, to io.Writer, members []*member) error {
	out := json.NewEncoder(to)
	for {
		_, err := in.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		for _, m := range members {
			status := m.mesh.Status()
			state := memberState{
				Name:    m.name,
				Live:    status.Self.Live,
				Digest:  status.Digest,
				WorstMS: status.WorstMS,
			}
			if err := out.Encode(state); err != nil {
				return err
			}
		}
	}
}
