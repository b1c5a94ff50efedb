package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// maxPageLines is the length above which a page of docs is split.
const maxPageLines = 300

// Guards against pages that do not say whom they are for, or that nobody reads to the end.
func TestEachPageSaysWhomItIsFor(t *testing.T) {
	is := is.New(t)
	pages, err := filepath.Glob("../docs/*.md")
	is.NoErr(err)
	designs, err := filepath.Glob("../docs/design/*.md")
	is.NoErr(err)
	is.True(len(pages) > 10 && len(designs) > 5)
	for _, page := range append(pages, designs...) {
		text, err := os.ReadFile(page)
		is.NoErr(err)
		lines := strings.Split(string(text), "\n")
		says := false
		for _, line := range lines[:min(len(lines), 4)] {
			says = says || strings.HasPrefix(strings.TrimPrefix(line, "# "), "For ")
		}
		if !says {
			t.Errorf("%s does not say whom it is for", page)
		}
		if len(lines) > maxPageLines+1 {
			t.Errorf("%s has %d lines", page, len(lines)-1)
		}
	}
}
