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
	consoleTimeout    = 3 * time.Second // of a request to a console
	maxConsoleAnswer  = 16 << 20        // maximum bytes read of an answer
	consoleFlagEnvVar = "RELAY_CONSOLE" // holds the default of the flag --console
)

// getConsole makes a read-only call to a console and decodes its answer.
func getConsole(addr, path string, answer any) error {
	return callConsole(http.MethodGet, addr, path, answer)
}

// callConsole makes a call to a console and decodes its answer.
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
		return fmt.Errorf("%s: this feature is not enabled on that scheduler", addr)
	default:
		return fmt.Errorf("%s: %s", addr, response.Status)
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxConsoleAnswer)).Decode(answer)
}

// formatCounts formats counts by name, sorted by name.
func formatCounts(counts map[string]uint64) string {
	var texts []string
	for name, count := range counts {
		texts = append(texts, fmt.Sprintf("%s %d", name, count))
	}
	sort.Strings(texts)
	return strings.Join(texts, ", ")
}
