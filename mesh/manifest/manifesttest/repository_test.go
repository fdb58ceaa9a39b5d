package manifesttest_test

import (
	"testing"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/manifest/manifesttest"
)

func TestInMemoryRepositorySatisfiesContract(t *testing.T) {
	manifesttest.TestRepository(t, func(*testing.T) manifest.Repository { return manifesttest.NewRepository() })
}
