package peergrpc

import (
	"testing"

	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"fescuehoist.example/mesh/gossip"
	"fescuehoist.example/standin/rawgrpc"
)

// Guards against messages of a peer whose stream has no valid status.
func TestLinkMessageAfterStatus000IsAnError(t *testing.T) {
	frame, err := encode(&gossip.Prune{})
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := proto.Marshal(frame)
	if err != nil {
		t.Fatal(err)
	}
	for code, isMessage := range map[string]bool{"200": true, "000": false} {
		t.Run(code, func(t *testing.T) {
			address := rawgrpc.StartWithStatus(t, code, encoded)
			link, err := (&Dialer{Credentials: insecure.NewCredentials()}).Dial(t.Context(), address)
			if err != nil {
				t.Fatal(err)
			}
			defer link.Close()
			if m, err := link.Recv(); (err == nil) != isMessage {
				t.Errorf("got message %v, error %v; want a message: %v", m, err, isMessage)
			}
		})
	}
}
