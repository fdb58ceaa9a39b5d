#!/usr/bin/env bash
# Generates the Go code of one .proto file: generate.sh FILE.proto FOLDER.
# Needs protoc on the PATH; tools/go.mod pins the versions of its plugins.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
proto=$(cd "$(dirname "$1")" && pwd)/$(basename "$1")
out=$(cd "$2" && pwd)
plugins=$(mktemp -d)
trap 'rm -r "$plugins"' EXIT
(cd "$root" && go build -o "$plugins/" google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc)
cd "$(dirname "$proto")"
PATH="$plugins:$PATH" protoc --go_out="$out" --go_opt=paths=source_relative \
	--go-grpc_out="$out" --go-grpc_opt=paths=source_relative "$(basename "$proto")"
