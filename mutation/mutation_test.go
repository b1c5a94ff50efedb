package mutation

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against an outdated list: the text that a mutation replaces must occur once in the
// source, and its test must exist.
func TestMutationsMatchTheSource(t *testing.T) {
	is := is.New(t)
	list, err := List()
	is.NoErr(err)
	is.True(len(list) > 0)
	names := map[string]bool{}
	for i := range list {
		m := &list[i]
		t.Run(m.Name, func(t *testing.T) {
			is := is.New(t)
			is.True(m.Name != "" && !names[m.Name])
			names[m.Name] = true
			text, err := os.ReadFile(filepath.Join("..", m.File))
			is.NoErr(err)
			changed, err := m.Apply(string(text))
			is.NoErr(err)
			is.True(changed != string(text))
			is.True(hasTest(t, filepath.Join("..", m.Package), m.Test))
		})
	}
}

// hasTest reports whether a test file in dir declares the test function; name may go on with a subtest's.
func hasTest(t *testing.T, dir, name string) bool {
	t.Helper()
	name, _, _ = strings.Cut(name, "/")
	files, err := filepath.Glob(filepath.Join(dir, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range files {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(text), "\nfunc "+name+"(") {
			return true
		}
	}
	return false
}

func TestMutationMustMatchExactlyOnce(t *testing.T) {
	is := is.New(t)
	m := &Mutation{Name: "m", Old: "a", New: "b"}
	changed, err := m.Apply("xay")
	is.NoErr(err)
	is.Equal(changed, "xby")
	for _, text := range []string{"xy", "aa"} {
		_, err := m.Apply(text)
		is.True(err != nil)
	}
}
