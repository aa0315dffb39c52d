package event_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hickorybend/io/event"
)

// TestCatalogueIsComplete guards against events that docs/EVENTS.md lacks or lists
// differently: both must have the same numbers, texts and levels in the same order.
func TestCatalogueIsComplete(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	assert.NilError(t, err)
	var listed []string
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "| ") && line[2] >= '0' && line[2] <= '9' {
			cells := strings.Split(line, " | ")
			listed = append(listed, strings.Join(cells[:3], " | "))
		}
	}
	var known []string
	for _, event := range event.All() {
		known = append(known, fmt.Sprintf("| %d | %s | %s", event.Number, event.Text, event.Level))
	}
	assert.DeepEqual(t, listed, known)
}
