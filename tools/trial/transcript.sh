#!/usr/bin/env bash
# Prints the transcript of docs/OPERATIONS.md. It runs the built binaries as
# separate processes on loopback: three daemons, with stand-ins for the platform
# and the backend servers. It ends only the processes that it started, by
# process id.
set -uo pipefail
cd "$(dirname "$0")/../.."
bin=$(mktemp -d)
work=$(mktemp -d)
pids=()

finish() {
	for p in "${pids[@]}"; do kill -KILL "$p" 2>/dev/null; done
	wait 2>/dev/null
	rm -r "$bin" "$work"
}
trap finish EXIT

go build -o "$bin/" ./fescuehoist ./fescuehoistd ./standin/cmd/... ./bench/cmd/bench-caller || exit 1
export PATH="$bin:$PATH" FESCUEHOIST_PLATFORM=127.0.0.1:7000

start() {
	"$@" >>"$work/$1.log" 2>&1 &
	pids+=("$!")
}

# run prints a command and its output, and its exit code if that is not 0.
run() {
	printf '$ %s\n' "$*"
	"$@" 2>&1
	local code=$?
	[ $code = 0 ] || printf '[exit code %d]\n' $code
	printf '\n'
}

start standin-platform --listen 127.0.0.1:7000
for i in 1 2 3; do
	start fescuehoistd -c examples/three-hosts/host-$i.toml
	start standin-backend --listen 127.0.0.1:7${i}04 --admin 127.0.0.1:7${i}03 --service lookup --slots 12 --work 20ms
done
cp examples/three-hosts/targets.toml "$work/targets.toml"
cd "$work"
sleep 2

printf '## An edit\n\n'
run fescuehoist check targets.toml
run fescuehoist apply targets.toml --author amal
start bench-caller --targets targets.toml --daemons 127.0.0.1:7100,127.0.0.1:7200,127.0.0.1:7300 --rate 350 --duration 170s
sed 's/latency = "100ms"/latency = "80ms"/' targets.toml >faster.toml
run fescuehoist diff faster.toml
run fescuehoist apply faster.toml --expect 1 --author amal
sleep 75
run fescuehoist status
run fescuehoist history --changes

printf '## A conflict\n\n'
sed 's/latency = "100ms"/latency = "120ms"/' targets.toml >slower.toml
run fescuehoist apply slower.toml --expect 1 --author dina

printf '## A bad file, and a bad version in the platform\n\n'
sed -e 's/rank = 1/rank = 99/' -e 's/success = 0.95/sucess = 0.95/' targets.toml >bad.toml
run fescuehoist check bad.toml
printf '# past the command line: a head that no edit wrote\n'
curl -s "$FESCUEHOIST_PLATFORM/v1/objects/config/head" | python3 -c '
import json, sys
o = json.load(sys.stdin); v = o["value"]
json.dump(v, open("good.json", "w"))
v["changes"].append({"version": v["version"] + 1, "edit_id": "by-hand", "author": "nobody", "at": "2026-01-01T00:00:00Z",
                     "updated": [{"service": "lookup", "digest": "0" * 64}]})
v["version"] += 1
json.dump(v, open("bad.json", "w"))'
put_head() { curl -s -o answer -w 'status %{http_code}\n' -X PUT -H "If-Match: $1" -d "@$2" "$FESCUEHOIST_PLATFORM/v1/objects/config/head"; }
run put_head 2 bad.json
sleep 20
run fescuehoist status
run fescuehoist apply faster.toml --author amal
printf '# the value before it is put back\n'
run put_head 3 good.json
run fescuehoist apply targets.toml --author amal
sleep 20
run fescuehoist status

printf '## A planned stop with a forecast\n\n'
run fescuehoist forecast --server lookup-1,lookup-2 --start 72h --length 2h
run fescuehoist stop plan --server lookup-1,lookup-2 --start 72h --length 2h --author amal
run fescuehoist stop plan --server lookup-1 --start 5s --length 30s --author amal
sleep 20
run fescuehoist status
run fescuehoist stop list
