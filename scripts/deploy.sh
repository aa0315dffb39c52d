# Functions that start an example deployment and stop its processes.
# Sourced by run.sh, smoke.sh and experiment.sh; needs the programs in bin/.

started=()
logs=$(mktemp -d)

stop_all() {
	local pid
	for pid in "${started[@]}"; do
		kill -TERM "$pid" 2>/dev/null
	done
	for pid in "${started[@]}"; do
		wait "$pid" 2>/dev/null
	done
	rm -rf "$logs"
}

# start NAME COMMAND... runs a command in the background and keeps its process ID and
# its log.
start() {
	local name=$1
	shift
	"$@" >"$logs/$name.log" 2>&1 &
	started+=($!)
}

# start_deployment NAME PLATFORM_PORT CONTROL_PORT CALLERS_PORT starts the stand-ins
# and three nodes, applies the spec, and waits until a node answers requests. The
# last two ports are those of the first node; the other nodes have the next ones.
start_deployment() {
	local name=$1 platform=$2 control=$3 callers=$4 i
	start "$name-standin" bin/standin --text "examples/$name.jsonc" --port "$platform"
	for i in 1 2 3; do
		start "$name-node-$i" bin/hickorybend --settings "examples/nodes/$name-$i.jsonc"
	done
	apply_text "$name" "$control" || return 1
	wait_ready "$name" "$callers"
}

# apply_text NAME CONTROL_PORT applies the spec. It tries up to 50 times, since the
# node may still be starting.
apply_text() {
	local name=$1 control=$2 try
	for try in $(seq 1 50); do
		if HBCTL_KEY=example-operator-key bin/hbctl --node "127.0.0.1:$control" apply "examples/$name.jsonc" >"$logs/$name-apply.log" 2>&1; then
			return 0
		fi
		sleep 0.2
	done
	cat "$logs/$name-apply.log" "$logs/$name"-*.log >&2
	return 1
}

# wait_ready NAME CALLERS_PORT waits until the third node answers a small request. It
# tries up to 150 times.
wait_ready() {
	local name=$1 callers=$2 try model key
	model=$(model_of "$name")
	key=$(keys_of "$name" | cut -d, -f1 | cut -d= -f2)
	for try in $(seq 1 150); do
		if curl -fsS -m 5 "http://127.0.0.1:$((callers + 2))/v1/completions" -H "Authorization: Bearer $key" \
			-d "{\"model\":\"$model\",\"prompt\":\"ready?\",\"max_tokens\":2}" >/dev/null 2>&1; then
			return 0
		fi
		sleep 0.2
	done
	echo "$name did not become ready; its logs:" >&2
	tail -n 20 "$logs/$name"-*.log >&2
	return 1
}

# model_of NAME prints the model of an example deployment.
model_of() {
	case $1 in
	ravenala) echo fit-assistant ;;
	muscat) echo kit-tutor ;;
	esac
}

# keys_of NAME prints the --keys of hbload for an example deployment.
keys_of() {
	case $1 in
	ravenala) echo "fitters-north=ravenala-fitters-north-key,fitters-south=ravenala-fitters-south-key,office=ravenala-office-key,quotes-night=ravenala-quotes-night-key" ;;
	muscat) echo "schools-a=muscat-schools-a-key,schools-b=muscat-schools-b-key,teachers=muscat-teachers-key,lesson-plans=muscat-lesson-plans-key" ;;
	esac
}

# plain_of NAME prints the flags of hbload for the deployment's plain service.
plain_of() {
	case $1 in
	ravenala) echo "--plain /booking --once /installs" ;;
	muscat) echo "--plain /ledger --once /loans" ;;
	esac
}

# targets_of CALLERS_PORT prints the addresses of the three nodes for callers.
targets_of() {
	echo "127.0.0.1:$1,127.0.0.1:$(($1 + 1)),127.0.0.1:$(($1 + 2))"
}
