package grpcconn_test

import (
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"fescuehoist.example/adapters/grpcconn"
)

// Guards against a connection for each message, and against connections to daemons that
// are gone which stay open.
func TestCacheKeepsConnectionsInUse(t *testing.T) {
	opened := 0
	newClient := func(grpc.ClientConnInterface) int { opened++; return opened }
	cache := grpcconn.NewCache(50*time.Millisecond, newClient, grpc.WithTransportCredentials(insecure.NewCredentials()))
	defer cache.Close()
	get := func(address string, want int) {
		t.Helper()
		if got, err := cache.Get(address); err != nil || got != want {
			t.Errorf("client %d of %s, error %v; want %d", got, address, err, want)
		}
	}
	get("127.0.0.1:1", 1)
	get("127.0.0.1:2", 2)
	get("127.0.0.1:1", 1)
	time.Sleep(60 * time.Millisecond)
	get("127.0.0.1:1", 1)
	get("127.0.0.1:2", 3)
}
