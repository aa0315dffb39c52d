#!/usr/bin/env bash
# Breaks one mechanism after the other in a copy of the tree and checks that the
# test named beside it fails. A break that no test detects is a gap in the tests.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/copy.sh

# break_one NAME FILE OLD NEW PACKAGE TEST
break_one() {
	local name=$1 package=$5 test=$6
	broken_copy "$@" || return
	if (cd "$copy/tree" && go build ./... >"$copy/log" 2>&1 && go test -count=1 -timeout 120s "$package" -run "$test" >"$copy/log" 2>&1); then
		echo "$name: NOT NOTICED by $test"
		missed=1
	elif grep -q -e '^--- FAIL' -e '^panic: test timed out' "$copy/log"; then
		echo "$name: noticed by $test"
	else
		echo "$name: the break does not build"
		tail -n 5 "$copy/log"
		missed=1
	fi
}

break_one "a timed-out transaction resolved as refused without a fence" core/rows/settle.go 'case row.Version == put.Base:' 'case false:' ./core/rows TestSettleIsRightInEveryOrder
break_one "a lease taken over before its TTL has passed" core/lease/claim.go 'claim.policy.TTL+delay' 'delay' ./core/lease TestLeaseHasOneHolder
break_one "a lease TTL counted from the answer, not from the sending" core/lease/claim.go 'claim.hold(claim.pending.sent)
	claim.pending = pending{}' 'claim.hold(claim.pending.sent.Add(claim.policy.TTL))
	claim.pending = pending{}' ./core/lease TestLeaseHasOneHolder
break_one "a change committed without a check of the fencing number" core/group/group.go 'Steps: []rows.Op{lease.check(), replica.put()}}' 'Steps: []rows.Op{replica.put()}}' ./core/group 'TestHostIsInOneReplica|TestRulesOfAReplica'
break_one "a replica formed without writing its host rows" core/group/group.go 'steps = append(steps, host.put(replica.ID))' '_ = host' ./core/group TestHostIsInOneReplica
break_one "a pending configuration change that is ignored" core/config/held.go 'if version > cache.head {' 'if false {' ./core/config 'TestNoNodeServesAnOldConfiguration|TestMayServe'
break_one "an unreachable zone that is ignored" core/config/held.go 'if !heard[other] {' 'if false && !heard[other] {' ./core/config 'TestNoNodeServesAnOldConfiguration|TestMayServe'
break_one "a configuration section replaced by an older one" core/config/held.go 'row.Version > cache.sections[name].Version' 'row.Version != cache.sections[name].Version' ./core/config TestHeldNeverGoesBack
break_one "a chunk of another request passed on" core/relay/check.go 'if fields.id.Str != checker.RequestID {' 'if false {' ./core/relay 'TestAnswerIsWhole|TestChunkVerdicts'
break_one "a stream taken as complete without a finish reason" core/relay/check.go 'if checker.FinishReason == "" {' 'if false {' ./core/relay 'TestAnswerIsWhole|TestChunkVerdicts'
break_one "a replica routed to after its status has expired" core/route/pick.go 'replica.State.until.Load() > now' '(replica.State.until.Load() > now || true)' ./core/route 'TestNoReplicaOnceItsEvidenceLapses'
break_one "a member with a mismatched status counted as in place" core/watch/watch.go 'if !fresh || !Matches(observation.Status, replica, member) {' 'if !fresh {' ./core/watch TestWholeNeedsEveryMember
break_one "a call in progress that is run again" core/once/once.go 'return InProgress{}, nil' 'return Run{Claim: claim(call, row, self, write)}, nil' ./io/front 'TestCallRunsAtMostOnce|TestRacingDuplicates'
break_one "a call with an unknown outcome recorded as not run" io/front/once.go 'trip.server.later.close(ctx, ending{claim: claim, state: once.StateInDoubt})' 'trip.server.later.close(ctx, ending{claim: claim, state: once.StateNotRun})' ./io/front 'TestCallRunsAtMostOnce|TestOutcomesOfACall'
break_one "plain calls over reused connections" io/engine/client.go 'DisableKeepAlives: true, ' '' ./io/front TestTransportDoesNotRepeatACall
break_one "not run reported without a check of the key's record" io/front/server.go 'found.honest(r.Header.Get(headerKey))' '' ./io/front 'TestCallRunsAtMostOnce|TestOutcomesOfACall'
break_one "a stream that is not resumed" io/front/generate.go 'if err == nil || !run.again(err, attempt) {' 'if true {' ./io/node 'TestHostDiesUnderStreams|TestAnswersAreWhole'
break_one "a drain that does not wait for running streams" io/node/placer.go 'lead.Status.Running+lead.Status.Waiting > 0' 'lead.Status.Running < 0' ./io/node TestDrainWaitsForWhatRuns

break_one "a lease renewal applied twice" core/lease/claim.go 'if claim.pending.write == "" {' 'if false {' ./core/lease TestRowSeenBeforeItsAnswer
break_one "members freed while the first host may serve" core/fleet/adopt.go 'if turn.Now.After(replica.brokenAt) {' 'if true {' ./core/fleet TestFirstHostCutOff
break_one "members freed before their first host has left" core/fleet/adopt.go 'turn.send(head.ID, Leave{Replica: replica.name, Epoch: replica.epoch})' 'turn.planner.release(replica)' ./core/fleet TestMemberCutOff
break_one "a replica opened before every member is ready" core/fleet/form.go 'if phase := turn.known[id].Membership.Phase; phase != PhaseReady && phase != PhaseOpen {' 'if phase := turn.known[id].Membership.Phase; phase == PhaseBroken {' ./core/fleet 'TestPromisesOfPlacement|CutOff'
break_one "a new holder that uses unconfirmed endpoints at once" core/fleet/ready.go 'return input.Now.Before(sureAt)' 'return false' ./core/fleet TestHolderChangesWhileMembersWait
break_one "a new holder that frees endpoints reported as quarantined" core/fleet/ready.go '!holderreport.Quarantined[endpoint.ID] && ' '' ./core/fleet TestHolderChangesWhileMembersWait
break_one "a holder report applied to endpoints freed after it" core/fleet/ready.go 'since.Before(holderreport.ReceivedAt.Add(-planner.policy.MaxReportAge))' 'since.Before(holderreport.ReceivedAt.Add(planner.policy.MaxCommandDelay))' ./core/fleet TestHolderChangesWhileMembersWait
break_one "model shares decided by the first requests alone" core/fleet/demand.go 'prior := float64(hosts) * memory.Seconds()' 'prior := 0.001' ./core/fleet TestFirstRequestsCloseNothing
break_one "weight loads without a rate limit" core/fleet/stage.go 'for turn.mayLoad() && turn.stageBest' 'for turn.stageBest' ./core/fleet TestLoadsArePaced
break_one "a 503 without the not-executed header read as not run" io/entry/whole.go 'promises(status) && !site.Retryable(visit.route.Kind)' 'false' ./platform/fakes TestOnceUnderFaults
break_one "a response of another request passed on" io/entry/whole.go 'case visit.ask.AttemptID != "" && responseheader.AttemptID != visit.ask.AttemptID:' 'case false:' ./platform/fakes TestOnceUnderFaults
break_one "a gap in the events of a stream that is not detected" io/entry/stream.go 'now == before+1 {' 'true {' ./platform/fakes TestStreamGoesOnElsewhere
break_one "the caller's API key passed on to the endpoint" platform/headers.go 'header.Del("Authorization")' '' ./platform TestPassing
break_one "an older configuration applied" io/edge/operators.go 'config.Version <= control.operators.index.Config.Version' 'false' ./platform/fakes TestConfigurationTakesEffect
break_one "a connection with unread bytes reused" io/pool/pool.go 'return err == nil && errors.Is(waiting, unix.EAGAIN)' 'return err == nil || errors.Is(waiting, unix.EAGAIN)' ./io/pool TestChannels

[ "$missed" -eq 0 ] && echo "every break was noticed"
exit "$missed"
