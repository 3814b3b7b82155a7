// Command hollow runs the membership of many schedulers in one process, for the lab. Each scheduler has its
// own mesh, as in the program, on its own sockets, without clients, workers or a console. The command reads
// the configuration of all schedulers as one line of JSON from standard input and prints "up" once all of
// them have sockets. It answers each further line with one line per member, which has the state of that
// member. It ends at the end of its input.
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
	Cluster    string         `json:"cluster"`
	SeedAddrs  []string       `json:"seeds"`
	Lines      string         `json:"lines"` // further lines of the table members in the features file
	RandomSeed uint64         `json:"chance"`
	Members    []memberConfig `json:"members"`
}

type memberConfig struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Advertise string `json:"advertise"`
}

// memberState is the answer of one member.
type memberState struct {
	Name    string  `json:"name"`
	Live    int     `json:"live"`
	Digest  string  `json:"digest"`
	WorstMS float64 `json:"worst_late_ms"`
}

// member is one of the schedulers in the process.
type member struct {
	name  string
	mesh  *mesh.Mesh
	board *board
}

const leaveTimeout = 300 * time.Millisecond // time to notify the other members

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
		return fmt.Errorf("reading the configuration of the members: %w", err)
	}
	var c config
	if err := json.Unmarshal(line, &c); err != nil {
		return fmt.Errorf("reading the configuration of the members: %w", err)
	}
	var members []*member
	quit := make(chan struct{})
	defer func() {
		close(quit)
		leave(members)
	}()
	for i := range c.Members {
		m, err := startMember(&c, i)
		if err != nil {
			return err
		}
		members = append(members, m)
	}
	go broadcastOperatorStates(members, quit)
	fmt.Fprintln(to, "up")
	return answer(in, to, members)
}

// startMember starts the member with a given index in the configuration.
func startMember(c *config, index int) (*member, error) {
	settings := c.Members[index]
	table := mesh.Defaults()
	if err := features.Decode([]byte(c.Lines), table); err != nil {
		return nil, fmt.Errorf("lines of the table members: %w", err)
	}
	table.Cluster = c.Cluster
	table.Seeds = c.SeedAddrs
	table.Listen = settings.Listen
	table.Advertise = settings.Advertise
	if err := table.Validate(); err != nil {
		return nil, err
	}
	identity := mesh.Identity{Name: settings.Name, Number: -1, Seed: c.RandomSeed + uint64(index)}
	b := newBoard()
	m, err := mesh.Start(table, identity, b.host(), zerolog.Nop())
	if err != nil {
		return nil, err
	}
	return &member{name: settings.Name, mesh: m, board: b}, nil
}

// leave makes all members leave the cluster, and closes them after leaveTimeout.
func leave(members []*member) {
	for _, m := range members {
		m.mesh.Leave()
	}
	time.Sleep(leaveTimeout)
	for _, m := range members {
		m.mesh.Close()
	}
}

// answer writes the states of all members for each line of the input.
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
