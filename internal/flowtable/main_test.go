package flowtable

import (
	"testing"

	"go.uber.org/goleak"

	"skylarkturn/internal/script"
)

func TestMain(m *testing.M) {
	script.FixPropertyTests()
	goleak.VerifyTestMain(m)
}
