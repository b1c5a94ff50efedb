package crashcause

import (
	"testing"

	"aspenyard.example/randomtest"
)

func TestMain(m *testing.M) { randomtest.Main(m) }
