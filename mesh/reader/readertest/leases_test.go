package readertest_test

import (
	"testing"

	"fescuehoist.example/mesh/reader"
	"fescuehoist.example/mesh/reader/readertest"
)

func TestInMemoryLeasesMeetContract(t *testing.T) {
	readertest.Run(t, func(*testing.T) (reader.Leases, reader.Leases) {
		l := readertest.NewLeases()
		return l, l
	})
}
