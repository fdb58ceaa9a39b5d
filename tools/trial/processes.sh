#!/usr/bin/env bash
# Runs the Nuqta Atlas deployment as separate processes on loopback (the stand-in
# platform, 8 daemons, 8 stand-in backend servers). While calls run it makes
# edits (valid, racing and invalid) and injects faults: a planned stop, a killed
# daemon, a frozen daemon, and an outage of the platform. Exits with 1 if a check
# fails. It ends only the processes that it started, by process id.
set -uo pipefail
cd "$(dirname "$0")/../.."
bin=$(mktemp -d)
work=$(mktemp -d)
pids=()
failed=0

finish() {
	for p in "${pids[@]}"; do
		kill -CONT "$p" 2>/dev/null
		kill -KILL "$p" 2>/dev/null
	done
	wait 2>/dev/null
	rm -r "$bin" "$work"
}
trap finish EXIT

say() { printf '%s\n' "trial: $*"; }
check() {
	local name=$1
	shift
	if "$@"; then say "ok     $name"; else
		say "FAILED $name"
		failed=1
	fi
}

go build -o "$bin/" ./fescuehoist ./fescuehoistd ./standin/cmd/... ./bench/cmd/bench-caller || exit 1
platform=127.0.0.1:17000
export FESCUEHOIST_PLATFORM=$platform

"$bin/standin-platform" --listen $platform &
platform_pid=$!
pids+=("$platform_pid")

declare -A daemon_pid
names=(lookup-1 lookup-2 lookup-3 lookup-4 lookup-5 archive-1 archive-2 archive-3)
domains=(cairo-a cairo-b cairo-c cairo-a cairo-b cairo-a cairo-b cairo-c)
callers=() admins=() backends=()
for i in "${!names[@]}"; do
	base=$((17100 + 10 * i))
	cat >"$work/${names[$i]}.toml" <<SETTINGS
[server]
name = "${names[$i]}"
domain = "${domains[$i]}"

[listen]
callers = "127.0.0.1:$base"
calls = "127.0.0.1:$((base + 1))"
peers = "127.0.0.1:$((base + 2))"
admin = "127.0.0.1:$((base + 3))"

[platform]
address = "$platform"

[tls]
daemons = "plain"
callers = "plain"
platform = "plain"

[peers]
seeds = ["127.0.0.1:17102", "127.0.0.1:17112", "127.0.0.1:17152"]
SETTINGS
	start_daemon() { "$bin/fescuehoistd" -c "$work/$1.toml" 2>>"$work/$1.log" & }
	start_daemon "${names[$i]}"
	daemon_pid[${names[$i]}]=$!
	pids+=("$!")
	"$bin/standin-backend" --listen "127.0.0.1:$((base + 4))" --admin "127.0.0.1:$((base + 3))" \
		--service "${names[$i]%-*}" --slots 12 --work 20ms &
	pids+=("$!")
	callers+=("127.0.0.1:$base")
	admins+=("127.0.0.1:$((base + 3))")
	backends+=("127.0.0.1:$((base + 4))")
done

# await waits until the state at every given admin address matches a pattern, and
# fails after a limit in seconds: await LIMIT PATTERN ADDRESS...
await() {
	local limit=$1 pattern=$2
	shift 2
	local end=$((SECONDS + limit)) a
	for a in "$@"; do
		until "$bin/fescuehoist" status --daemon "$a" 2>/dev/null | grep -q "$pattern"; do
			[ $SECONDS -lt $end ] || return 1
			sleep 0.05
		done
	done
}
in_force() { await 6 "\"version_in_force\": $1," "${live[@]}"; }
live=("${admins[@]}")

# alive_everywhere waits until every live daemon reports the server's health as
# alive, and fails after 20 s.
alive_everywhere() {
	local end=$((SECONDS + 20)) a
	for a in "${live[@]}"; do
		until "$bin/fescuehoist" status --daemon "$a" 2>/dev/null |
			grep -A 5 "\"server\": \"$1\"" | grep -q '"health": "alive"'; do
			[ $SECONDS -lt $end ] || return 1
			sleep 0.05
		done
	done
}

sleep 1
check "targets are accepted" "$bin/fescuehoist" apply examples/nuqta/targets.toml
check "version 1 is in force everywhere within 6 s" in_force 1
await 10 '"state": "ready"' "${admins[@]}"
sleep 1

join() {
	local IFS=,
	echo "$*"
}
# Callers use only daemons that are not stopped, killed or frozen below.
"$bin/bench-caller" --targets examples/nuqta/targets.toml --rate 60 --duration 24s --seed 1 \
	--daemons "$(join "${callers[0]}" "${callers[4]}" "${callers[5]}")" \
	--backends "$(join "${backends[@]}")" >"$work/caller.out" 2>&1 &
caller=$!

sleep 2
sed 's/latency = "100ms"/latency = "110ms"/' examples/nuqta/targets.toml >"$work/a.toml"
sed 's/latency = "100ms"/latency = "120ms"/' examples/nuqta/targets.toml >"$work/b.toml"
sed 's/rank = 1/rank = 99/' examples/nuqta/targets.toml >"$work/bad.toml"
check "an edit is accepted" "$bin/fescuehoist" apply "$work/a.toml"
check "version 2 is in force everywhere within 6 s" in_force 2
"$bin/fescuehoist" apply --expect 2 "$work/b.toml" >"$work/race1" 2>&1 &
r1=$!
"$bin/fescuehoist" apply --expect 2 examples/nuqta/targets.toml >"$work/race2" 2>&1 &
r2=$!
wait $r1
c1=$?
wait $r2
c2=$?
check "of two racing edits one wins and one is told of the conflict" [ "$c1-$c2" = 0-3 -o "$c1-$c2" = 3-0 ]
"$bin/fescuehoist" apply "$work/bad.toml" >/dev/null 2>&1
check "a bad edit is refused with exit code 2" [ $? = 2 ]
check "version 3 is in force everywhere within 6 s" in_force 3

say "planned stop of lookup-2"
kill -TERM "${daemon_pid[lookup-2]}"
wait "${daemon_pid[lookup-2]}"
check "the planned stop ends with exit code 0" [ $? = 0 ]
live=("${admins[@]:0:1}" "${admins[@]:2}")

say "lookup-3 is killed"
kill -KILL "${daemon_pid[lookup-3]}"
live=("${admins[@]:0:1}" "${admins[@]:3}")
check "the killed daemon is failed everywhere within 20 s" await 20 '"health": "failed"' "${live[@]}"

say "lookup-4 is frozen for 4 s"
kill -STOP "${daemon_pid[lookup-4]}"
sleep 4
kill -CONT "${daemon_pid[lookup-4]}"

say "the platform is out for 4 s, and lookup-2 starts again meanwhile"
kill -USR1 "$platform_pid"
"$bin/fescuehoist" apply "$work/a.toml" >/dev/null 2>&1
check "an edit during the outage is not accepted" [ $? != 0 ]
start_daemon lookup-2
pids+=("$!")
live=("${admins[@]:0:2}" "${admins[@]:3}")
check "a daemon started during the outage is configured by its peers" in_force 3
sleep 3
kill -USR2 "$platform_pid"
"$bin/fescuehoist" apply "$work/a.toml" >"$work/after" 2>&1
check "an edit after the outage is accepted" grep -q 'version 4' "$work/after"
check "version 4 is in force everywhere within 6 s" in_force 4
check "the frozen daemon is alive again everywhere" alive_everywhere lookup-4

wait $caller
check "calls: verdicts and answers are right" [ $? = 0 ]
sed 's/^/trial: /' "$work/caller.out"
grep -hE "warn|error|panic|DATA RACE" "$work"/*.log | head -5
[ $failed = 0 ] && say "all checks hold"
exit $failed
