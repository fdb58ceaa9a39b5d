# Targets for users: demo, test, bench. Targets for developers: check, generate.

PACKAGES := ./adapters/... ./bench/... ./fescuehoist/... ./fescuehoistd/... ./mesh/... ./standin/... ./tools/...
DEMO_FLAGS ?=

.PHONY: demo test check generate build

demo:
	go run ./fescuehoist demo $(DEMO_FLAGS)

test:
	go test -race -timeout 20m $(PACKAGES)

check:
	test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	go vet $(PACKAGES)
	go tool staticcheck $(PACKAGES)

build:
	go build -o bin/ ./fescuehoist ./fescuehoistd

generate:
	tools/generate.sh adapters/peergrpc/peerpb
