#!/usr/bin/env bash
# Generates the Go code of the peer protocol into the given folder.
# Needs protoc on the PATH; the plugins are pinned in tools/go.mod.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
out=$(cd "$1" && pwd)
cd "$root/adapters/peergrpc/peerpb"
plugins=$(mktemp -d)
trap 'rm -r "$plugins"' EXIT
(cd "$root" && go build -o "$plugins/" google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc)
PATH="$plugins:$PATH" protoc --go_out="$out" --go_opt=paths=source_relative \
	--go-grpc_out="$out" --go-grpc_opt=paths=source_relative peer.proto
