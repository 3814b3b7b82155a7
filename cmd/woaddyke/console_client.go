package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"time"
)

const (
	consoleTimeout    = 3 * time.Second // for a console to answer
	maxConsoleAnswer  = 16 << 20        // bytes that are read of an answer
	consoleFlagEnvVar = "RELAY_CONSOLE" // the default of the flag --console
)

// getConsole decodes the answer of one of a console's calls that change nothing.
func getConsole(addr, path string, answer any) error {
	return callConsole(http.MethodGet, addr, path, answer)
}

// callConsole makes a call at a console and decodes its answer.
func callConsole(method, addr, path string, answer any) error {
	client := http.Client{Timeout: consoleTimeout}
	request, err := http.NewRequest(method, "http://"+addr+path, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return fmt.Errorf("%s: that is not switched on there", addr)
	default:
		return fmt.Errorf("%s: %s", addr, response.Status)
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxConsoleAnswer)).Decode(answer)
}

// formatCounts lists counts by name, in the order of the names.
func formatCounts(counts map[string]uint64) string {
	var texts []string
	for name, count := range counts {
		texts = append(texts, fmt.Sprintf("%s %d", name, count))
	}
	sort.Strings(texts)
	return strings.Join(texts, ", ")
}
