package host

import "testing"

func TestPortBlocksOfTwoProcessesAreDisjoint(t *testing.T) {
	var first, second portBlock
	seen := map[string]bool{}
	for _, b := range []*portBlock{&first, &second} {
		if err := b.claim(); err != nil {
			t.Fatal(err)
		}
		defer b.lock.Close()
		for range 20 {
			address, err := b.freeAddress()
			if err != nil || seen[address] {
				t.Fatalf("freeAddress: got %s, error %v; want an address not returned before", address, err)
			}
			seen[address] = true
		}
	}
}
