#!/usr/bin/env bash
# Fails if a name from the wire format of the users' platform occurs in Go code
# outside platform/.
set -euo pipefail
cd "$(dirname "$0")/.."
names='cold_left_s|beat_endpoint|virtual_hosts|path_prefix|weighted_services|target_latency_s|max_attempts|has_more|at_rev|allow_stale|wait_ms|api_keys|rate_per_s|target_version|duration_s'
names+='|Fescuehoist-(Request-Id|Deadline-Ms|Target-Instance|Response-Seal|Caller-Service|Not-Executed|Instance-Id|Tenant)|X-Api-Key|/-/(instances|objects|ready)'
if git ls-files '*.go' | grep -v '^platform/' | xargs grep -nE "$names"; then
	echo "names of the users' wire belong in platform/" >&2
	exit 1
fi
