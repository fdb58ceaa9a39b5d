package callhttp

import (
	"testing"

	"github.com/valyala/fasthttp"

	"fescuehoist.example/mesh/target"
)

// Guards against a request without a key that runs for an account whose list of keys holds
// an empty one by mistake, and against one that presents the keys of two accounts.
func TestReadAPIKeyWantsOneKey(t *testing.T) {
	for name, c := range map[string]struct {
		keys  []string
		found bool
	}{
		"none": {}, "empty": {keys: []string{""}}, "two": {keys: []string{"a", "b"}}, "one": {keys: []string{"a"}, found: true},
	} {
		var h fasthttp.RequestHeader
		for _, k := range c.keys {
			h.Add(HeaderAPIKey, k)
		}
		digest, found := ReadAPIKey(&h, HeaderAPIKey)
		if found != c.found || (found && digest != target.DigestKey([]byte("a"))) {
			t.Errorf("%s: found %t, want %t", name, found, c.found)
		}
	}
}
