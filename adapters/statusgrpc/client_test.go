package statusgrpc_test

import (
	"testing"

	"google.golang.org/grpc/credentials/insecure"

	"fescuehoist.example/adapters/peergrpc"
	"fescuehoist.example/adapters/statusgrpc"
	"fescuehoist.example/mesh/status"
	"fescuehoist.example/standin/rawgrpc"
)

// Guards against an answer without a valid status that is taken for the reply of a daemon.
func TestClientReplyWithStatus000IsAnError(t *testing.T) {
	for code, isReply := range map[string]bool{"200": true, "000": false} {
		t.Run(code, func(t *testing.T) {
			address := rawgrpc.StartWithStatus(t, code, nil)
			client := statusgrpc.NewClient(insecure.NewCredentials(), &peergrpc.Traffic{})
			defer client.Close()
			if reply, err := client.Report(t.Context(), address, &status.Report{}); (err == nil) != isReply {
				t.Errorf("got reply %v, error %v; want a reply: %v", reply, err, isReply)
			}
		})
	}
}
