#!/usr/bin/env bash
# Breaks one mechanism of the node after the other in a copy of the tree and runs
# soak seeds, of which at least one should have a finding. Argument: the seeds, by
# default 1-3.
set -u
cd "$(dirname "$0")/.." || exit 1
seeds=${1:-1-3}
. scripts/copy.sh

# break_one NAME FILE OLD NEW PROMISE replaces OLD by NEW in FILE and runs the seeds.
# PROMISE is the name of the invariant that the findings should name; io/soak lists
# the invariants.
break_one() {
	local name=$1 promise=$5
	broken_copy "$@" || return
	if ! (cd "$copy/tree" && go build -o bin/ ./cmd/hickorybend ./cmd/standin ./cmd/hbsoak >"$copy/log" 2>&1); then
		echo "$name: the break does not build"
		tail -n 5 "$copy/log"
		missed=1
		return
	fi
	(cd "$copy/tree" && bin/hbsoak --bin bin --dir "$copy/soak" --seeds "$seeds" --jobs 3 >"$copy/log" 2>&1)
	if grep -q "$promise" "$copy/log"; then
		echo "$name: noticed ($promise) by seeds $(grep -E '^seed [0-9]+:.* [1-9][0-9]* findings' "$copy/log" | sed 's/^seed \([0-9]*\):.*/\1/' | sort -n | paste -sd,)"
	else
		echo "$name: NOT NOTICED by seeds $seeds"
		tail -n 5 "$copy/log"
		missed=1
	fi
}

break_one "an at-most-once call sent again" core/site/config.go 'default:
		return false
	}' 'default:
		return true
	}' "at most once"
break_one "not run reported for a request that may have run" io/entry/response.go 'case !request.mayHaveRun:' 'case true:' "not run means not run"
break_one "a connection that carries an ID twice" io/pool/budget.go '!idle.history.contains(request.ID)' 'true' "not run means not run"
break_one "members freed before their first host has left" core/fleet/adopt.go 'pass.send(firstHost.ID, Leave{Replica: replica.name, Epoch: replica.epoch})' 'pass.planner.release(replica)' "one replica a host"
break_one "a replica opened before every member is ready" core/fleet/form.go 'if phase := pass.known[id].Membership.Phase; phase != PhaseReady && phase != PhaseOpen {' 'if phase := pass.known[id].Membership.Phase; phase == PhaseBroken {' "whole replicas"
break_one "a broken stream that looks complete" io/entry/stream.go 'panic(http.ErrAbortHandler)' 'return' "whole answers"
break_one "draining endpoints that get new requests" io/edge/publish.go 'if !endpoint.Draining {' 'if true {' "drains respected"
break_one "the caller's API key passed on to the endpoint" platform/headers.go 'header.Del("Authorization")' '' "requests as they came"
break_one "a node that exits without waiting for its requests" io/edge/edge.go 'deadline := start.Add(params.Settings.Grace - killMargin)' 'deadline := start' "answers not lost"

exit "$missed"
