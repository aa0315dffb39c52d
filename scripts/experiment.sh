#!/usr/bin/env bash
# Measures the routing and admission policy under load: at three steady rates, and
# with a host of one replica failing. Prints hbload's tables. Environment variables:
#   POLICIES       which of these policies to measure, by default "own random":
#                  "own", the routing policy as it is; "random", a random choice among
#                  complete replicas; "load", the policy without prefix affinity
#   CAPACITY_RATE  the rate in requests per second that the six replicas sustain with
#                  warm prefix caches
#   LENGTH         how long each load lasts
#   PREFIXES       the number of distinct prefixes that the prompts share
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/deploy.sh
trap stop_all EXIT
work=$(mktemp -d)
length=${LENGTH:-12s}

# variant POLICY writes a spec of six replicas with limits too high to take effect,
# and the nodes' settings for the policy.
variant() {
	sed -e 's/"min-replicas": 6, "max-replicas": 14/"min-replicas": 6, "max-replicas": 6/' \
		-e 's/"requests-per-second": [0-9]*/"requests-per-second": 100000/; s/"tokens-per-second": [0-9]*/"tokens-per-second": 10000000/; s/"concurrent": [0-9]*/"concurrent": 10000/' \
		examples/ravenala.jsonc >"$work/text.jsonc"
	for i in 1 2 3; do
		cp "examples/nodes/ravenala-$i.jsonc" "$work/node-$i.jsonc"
		if [ "$1" = load ]; then
			sed -i 's/^  "platform"/  "route": {"warm-prefix": "0s"},\n  "platform"/' "$work/node-$i.jsonc"
		fi
		if [ "$1" = random ]; then
			sed -i 's/^  "platform"/  "route": {"jitter": "1h", "warm-prefix": "0s", "full-batch": "0s", "queued-stream": "0s", "other-zone": "0s", "eject-ratio": 1000000},\n  "platform"/' "$work/node-$i.jsonc"
		fi
	done
}

# up POLICY starts the stand-ins and three nodes and waits until they serve.
up() {
	variant "$1"
	start standin bin/standin --text "$work/text.jsonc" --port 9400
	for i in 1 2 3; do
		sed -i 's/127.0.0.1:9000/127.0.0.1:9400/g' "$work/node-$i.jsonc"
		start "node-$i" bin/hickorybend --settings "$work/node-$i.jsonc"
	done
	sleep 1
	for _ in $(seq 1 30); do
		HBCTL_KEY=example-operator-key bin/hbctl --node 127.0.0.1:8181 apply "$work/text.jsonc" >/dev/null 2>&1 && break
		sleep 0.3
	done
	wait_ready ravenala 8081
	sleep 4
}

# load RATE SEED sends streamed chats and checks every response.
load() {
	bin/hbload --targets "$(targets_of 8081)" --keys "$(keys_of ravenala)" --model fit-assistant --mix 1,0,0,0 \
		--rate "$1" --length "$length" --seed "$2" --prefixes "${PREFIXES:-60}" --prompt-bytes 2000
}

# down stops all processes.
down() {
	local pid
	for pid in "${started[@]}"; do kill -TERM "$pid" 2>/dev/null; done
	for pid in "${started[@]}"; do wait "$pid" 2>/dev/null; done
	started=()
}

for policy in ${POLICIES:-own random}; do
	up "$policy"
	load "$(awk -v r="${CAPACITY_RATE:-180}" 'BEGIN { print r * 0.5 }')" 20 >/dev/null # warms the prefix caches
	for fraction in 0.5 0.9 1.3; do
		rate=$(awk -v r="${CAPACITY_RATE:-180}" -v f="$fraction" 'BEGIN { print r * f }')
		echo "== $policy, $fraction of capacity ($rate requests/s), steady, seed 21"
		load "$rate" 21
	done
	rate=$(awk -v r="${CAPACITY_RATE:-180}" 'BEGIN { print r * 0.9 }')
	echo "== $policy, 0.9 of capacity, a host dies after 4 s, seed 22"
	host=$(HBCTL_KEY=example-operator-key bin/hbctl --node 127.0.0.1:8181 replicas | awk 'NR == 2 { print $NF }')
	(sleep 4; curl -fsS -X POST http://127.0.0.1:9400/faults -d "{\"host\":\"$host\",\"endpoint\":{\"dead\":true}}") &
	load "$rate" 22
	down
done
rm -rf "$work"
