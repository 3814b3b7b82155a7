package codepolicy

import (
	"go/ast"
	"go/parser"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// standardLibraryMessages are the entries of the on-call page for messages that the standard library logs. No
// call in this module has these messages.
var standardLibraryMessages = []string{"http: ...", "httputil: ..."}

// Operators look up log lines by their messages on the on-call page. The page must list every message that
// the code logs, and no other.
func TestOnCallPageListsEveryLogMessage(t *testing.T) {
	logged, listed := loggedMessages(t), listedMessages(t)
	for message, where := range logged {
		if !slices.Contains(listed, message) {
			t.Errorf("%s logs %q, which the on-call page does not list", where, message)
		}
	}
	for _, message := range listed {
		if logged[message] == "" && !slices.Contains(standardLibraryMessages, message) {
			t.Errorf("the on-call page lists %q, which nothing logs", message)
		}
	}
	if len(logged) == 0 {
		t.Fatal("no log message was found: this test checks nothing")
	}
}

// loggedMessages returns the messages of all log lines of the scheduler, each with a position where it is
// logged.
func loggedMessages(t *testing.T) map[string]string {
	t.Helper()
	messages := map[string]string{}
	for _, file := range sourceFiles(t, parser.SkipObjectResolution) {
		ast.Inspect(file.content, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.BasicLit:
				for _, line := range encodedMessage.FindAllStringSubmatch(n.Value, -1) {
					messages[line[1]] = file.position(n).String()
				}
			case *ast.CallExpr:
				if message, ok := messageOf(t, file, n); ok {
					messages[message] = file.position(n).String()
				}
			}
			return true
		})
	}
	return messages
}

// encodedMessage matches the message in a log line that is written without the logger.
var encodedMessage = regexp.MustCompile(`"message":"([^"]+)"`)

// messageOf returns the message that a call logs. The message must be a string literal, so that the
// test can compare it with docs/oncall.md.
func messageOf(t *testing.T, file sourceFile, call *ast.CallExpr) (message string, ok bool) {
	t.Helper()
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || method.Sel.Name != "Msg" || len(call.Args) != 1 {
		return "", false
	}
	literal, ok := call.Args[0].(*ast.BasicLit)
	if !ok {
		t.Errorf("%s: the message of a log line is not a string literal", file.position(call))
		return "", false
	}
	message, err := strconv.Unquote(literal.Value)
	if err != nil {
		t.Fatal(err)
	}
	return message, true
}

var quotedMessage = regexp.MustCompile("`([^`]+)`")

// listedMessages returns the messages in the first column of the on-call page's table of log lines.
func listedMessages(t *testing.T) (messages []string) {
	t.Helper()
	page, err := os.ReadFile(filepath.Join(root, "docs", "oncall.md"))
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(page), "\n## Log lines\n")
	if !found {
		t.Fatal("the on-call page has no section of log lines")
	}
	section, _, _ = strings.Cut(section, "\n## ")
	for _, line := range strings.Split(section, "\n") {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		column := strings.Split(line, "|")[1]
		for _, quoted := range quotedMessage.FindAllStringSubmatch(column, -1) {
			messages = append(messages, quoted[1])
		}
	}
	return messages
}
