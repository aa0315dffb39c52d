#!/usr/bin/env bash
# Breaks one mechanism after the other in a copy of the tree and checks that the
# test named beside it fails. A break that no test detects is a gap in the tests.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/copy.sh

# break_one NAME FILE OLD NEW PACKAGE TEST replaces OLD by NEW in FILE and runs TEST,
# a pattern of go test, in PACKAGE.
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

break_one "a timed-out transaction resolved as rejected without a fence" core/rows/resolve.go 'case row.Version == put.Base:' 'case false:' ./core/rows TestResolveIsRightInEveryOrder
break_one "a lease taken over before its TTL has passed" core/lease/claim.go 'claim.policy.TTL+delay' 'delay' ./core/lease TestLeaseHasOneHolder
break_one "a lease TTL counted from the answer, not from the sending" core/lease/claim.go 'claim.extend(claim.pending.sentAt)
	claim.pending = pending{}' 'claim.extend(claim.pending.sentAt.Add(claim.policy.TTL))
	claim.pending = pending{}' ./core/lease TestLeaseHasOneHolder
break_one "a change committed without a check of the fencing number" core/group/group.go 'Ops: []rows.Op{lease.check(), replica.put()}}' 'Ops: []rows.Op{replica.put()}}' ./core/group 'TestHostIsInOneReplica|TestReplicaRejectsInvalidChanges'
break_one "a replica formed without writing its host rows" core/group/group.go 'ops = append(ops, host.put(replica.ID))' '_ = host' ./core/group TestHostIsInOneReplica
break_one "a pending configuration change that is ignored" core/config/cache.go 'if version > cache.head {' 'if false {' ./core/config 'TestNoNodeServesAnOldConfiguration|TestMayServe'
break_one "an unreachable zone that is ignored" core/config/cache.go 'if !answered[other] {' 'if false && !answered[other] {' ./core/config 'TestNoNodeServesAnOldConfiguration|TestMayServe'
break_one "a configuration section replaced by an older one" core/config/cache.go 'row.Version > cache.sections[name].Version' 'row.Version != cache.sections[name].Version' ./core/config TestCacheNeverGoesBack
break_one "a chunk of another request passed on" core/relay/check.go 'if fields.id.Str != checker.RequestID {' 'if false {' ./core/relay 'TestAnswerIsComplete|TestCheckDecisions'
break_one "a stream taken as complete without a finish reason" core/relay/check.go 'if checker.FinishReason == "" {' 'if false {' ./core/relay 'TestAnswerIsComplete|TestCheckDecisions'
break_one "a replica routed to after its status has expired" core/route/pick.go 'replica.State.completeUntil.Load() > now' '(replica.State.completeUntil.Load() > now || true)' ./core/route 'TestReplicaWithExpiredStatusIsNotPicked'
break_one "a member with a mismatched status counted as in place" core/watch/watch.go 'if !fresh || !Matches(observation.Status, replica, member) {' 'if !fresh {' ./core/watch TestCompleteNeedsEveryMember
break_one "a call in progress that is run again" core/once/once.go 'return InProgress{}, nil' 'return Run{Claim: claimTxn(call, row, self, writeID)}, nil' ./io/front 'TestCallRunsAtMostOnce|TestRacingDuplicates'
break_one "a call with an unknown outcome recorded as not run" io/front/once.go 'plaincall.server.recorder.close(ctx, callResult{claim: claim, state: once.StateInDoubt})' 'plaincall.server.recorder.close(ctx, callResult{claim: claim, state: once.StateNotRun})' ./io/front 'TestCallRunsAtMostOnce|TestOutcomesOfACall'
break_one "plain calls over reused connections" io/engine/client.go 'DisableKeepAlives: true, ' '' ./io/front TestTransportDoesNotRepeatACall
break_one "streams and commands over reused connections" io/engine/client.go 'DisableKeepAlives: true, ' '' ./io/engine 'TestCopyOfEnginesRejectionPasses|TestCopyPassesForEnginesReply'
break_one "not run reported without a check of the key's record" io/front/server.go 'problem.adjustOutcome(r.Header.Get(headerIdempotencyKey))' '' ./io/front 'TestCallRunsAtMostOnce|TestOutcomesOfACall'
break_one "a stream that is not resumed" io/front/generate.go 'if err == nil || !generation.shouldRetry(err, attempt) {' 'if true {' ./io/node 'TestStreamsSurviveHostFailure|TestAnswersAreComplete'
break_one "a drain that does not wait for running streams" io/node/placer.go 'firstHost.Status.Running+firstHost.Status.Waiting > 0' 'firstHost.Status.Running < 0' ./io/node TestDrainWaitsForRunningStreams

break_one "a lease renewal applied twice" core/lease/claim.go 'if claim.pending.writeID == "" {' 'if false {' ./core/lease TestRenewalObservedBeforeItsReply
break_one "members freed while the first host may serve" core/fleet/adopt.go 'if pass.Now.After(replica.stalledUntil) {' 'if true {' ./core/fleet TestFirstHostCutOff
break_one "members freed before their first host has left" core/fleet/adopt.go 'pass.send(firstHost.ID, Leave{Replica: replica.name, Epoch: replica.epoch})' 'pass.planner.release(replica)' ./core/fleet TestMemberCutOff
break_one "a replica opened before every member is ready" core/fleet/form.go 'if phase := pass.known[id].Membership.Phase; phase != PhaseReady && phase != PhaseOpen {' 'if phase := pass.known[id].Membership.Phase; phase == PhaseBroken {' ./core/fleet 'TestPlacementInvariants|CutOff'
break_one "a new holder that uses unconfirmed endpoints at once" core/fleet/ready.go 'return endpoint.FreeSince.IsZero() || input.Now.Before(' 'return false && input.Now.Before(' ./core/fleet TestHolderChangesWhileMembersWait
break_one "a clearance that holds whatever commands came after it" core/fleet/clearance.go ' && endpoint.CommandCount == clearance.CommandCount' '' ./core/fleet TestHolderChangesWhileMembersWait
break_one "a rejected join that is sent again without a check" core/fleet/adopt.go 'pass.mayNotJoin(replica, endpoint)' 'false' ./core/fleet TestRejectedJoinIsSentAgain
break_one "an endpoint cleared while its first host may serve" core/fleet/clearance.go 'range pass.free() {' 'range pass.idle() {' ./core/fleet 'TestHolderChangesWhileMembersWait|TestPlacementInvariants'
break_one "an endpoint that passes for free whatever happened between two reports" io/edge/probe.go 'report.CommandCount == known.CommandCount' 'true' ./io/edge TestFreeWhileNobodyLooked
break_one "command counts of before that a new holder relies on" io/edge/placement.go 'control.endpoints.doubtCommandCounts()' '' ./io/edge TestNewHolderAsksForCommandCounts
break_one "a new holder that waits for nobody before the first request" core/fleet/planner.go 'record.unconfirmedUntil = pass.planner.unconfirmedUntil' 'if !pass.NoRequestsYet {
			record.unconfirmedUntil = pass.planner.unconfirmedUntil
			}' ./core/fleet TestHolderChangesBeforeFirstRequest
break_one "a later holder that takes all endpoints for new" io/edge/placement.go 'noRequestsYet && control.placement.isFirstHolder' 'noRequestsYet' ./io/edge TestCountsBeforeFirstRequest
break_one "a lost row of an evacuation taken for its removal" core/evac/inforce.go 'state.Version.Era() > inforce.State.Version.Era()' 'false' ./io/edge TestStoreGoesBackWithoutEvacuation
break_one "a byte now and then that counts as progress" io/gate/conn.go 'float64(conn.size) < slowRate*begunFor.Seconds()' 'false' ./io/gate TestSlowCrowdKeepsOthersOut
break_one "model shares decided by the first requests alone" core/fleet/demand.go 'priorWork := float64(hosts) * priorTime.Seconds()' 'priorWork := 0.001' ./core/fleet TestFirstRequestsCloseNothing
break_one "weight loads without a rate limit" core/fleet/stage.go 'for pass.mayStartLoad() && pass.startBestLoad' 'for pass.startBestLoad' ./core/fleet TestLoadsArePaced
break_one "a 503 without the not-executed header read as not run" io/entry/buffered.go '&& !responseheader.Receipt, claimsNotExecuted(status):' '&& !responseheader.Receipt:' ./platform/fakes TestAtMostOnceUnderFaults
break_one "a response of another request passed on" io/entry/buffered.go 'case !request.belongsTo(responseheader):' 'case false:' ./platform/fakes TestAtMostOnceUnderFaults
break_one "a gap in the events of a stream that is not detected" io/entry/stream.go 'current == previous+1 {' 'true {' ./platform/fakes TestStreamResumesOnOtherReplica
break_one "the caller's API key passed on to the endpoint" platform/headers.go 'header.Del("Authorization")' '' ./platform TestSetForwardHeader
break_one "a node that waits for others, or for its poll, to learn of a change" io/edge/refresh.go 'reader.Due(copies.policies[table], copies.watermarks[table], now)' 'false && reader.Due(copies.policies[table], copies.watermarks[table], now)' ./io/edge TestNodeReadsWhatNobodyDelivers
break_one "a leader that the store does not answer" core/topo/assign.go 'return b.WithoutStore' 'return precedes(a, b)' ./core/topo TestLeaderFailover
break_one "a read that is not retried" core/fresh/reader.go 'reader.retryAt = now.Add(' 'reader.retryAt = now.Add(time.Minute + ' ./core/fresh TestAgeIsBoundedWhileTheStoreAnswers
break_one "a removal under a version of the node's own" io/edge/endpoints.go 'control.forgetEndpoint(id, endpoints.removals[id], fromGrace, now)' 'endpoints.version++
			endpoints.completeVersion = max(endpoints.completeVersion, endpoints.version)
			control.forgetEndpoint(id, endpoints.version, fromGrace, now)' ./io/edge 'TestCopyHasAllChangesUpToItsVersion|TestDrainAfterRowsWereGivenUp'
break_one "a full read whose unknown removals peers do not fetch" io/edge/peers.go 'return max(digest.Versions[table], digest.Compacted)' 'return digest.Versions[table]' ./io/edge TestCopyHasAllChangesUpToItsVersion
break_one "an old answer of the store that brings a removed row back" io/edge/endpoints.go 'if entry.Version < oldestNews {' 'if oldestNews < 0 {' ./io/edge TestCopyHasAllChangesUpToItsVersion
break_one "a copy confirmed by a peer that has more changes" io/edge/copies.go 'control.completeVersion(table) < requiredVersion(digest, table) {' 'control.completeVersion(table) < 0 {' ./io/edge TestCopyHasAllChangesUpToItsVersion
break_one "a peer's copy that passes for as new as its reply" io/gossip/digest.go 'return askedAt.Add(-time.Duration(digest.Ages[table])), true' 'return askedAt, true' ./io/edge TestCopyHasAllChangesUpToItsVersion
break_one "a digest whose ages do not grow" io/gossip/digest.go 'digest.Ages[table] = int64(now.Sub(confirmedAt))' 'digest.Ages[table] = 0' ./io/edge TestAgeInDigestGrowsWhileControlStandsStill
break_one "a grace that begins with any answer" core/fresh/watermark.go 'watermark.Age(now) >= lapse' 'watermark.Age(now) >= 0' ./core/fresh TestOutageThatRowsLapseIn
break_one "a request routed by a copy that is out of date" io/edge/confirm.go 'if !control.awaitsConfirmation(time.Now()) {' 'if true {' ./io/edge TestRequestAfterSuspensionWaitsForConfirmation
break_one "an older configuration applied" io/edge/config.go 'config.Version <= control.config.index.Config.Version' 'false' ./platform/fakes TestConfigurationTakesEffect
break_one "a connection with unread bytes reused" io/pool/pool.go 'return err == nil && errors.Is(peekErr, unix.EAGAIN)' 'return err == nil || errors.Is(peekErr, unix.EAGAIN)' ./io/pool TestConnectionReuse

break_one "versions that compare without their era" core/rows/version.go 'return Version(min(max(era, 0), maxEra)<<numberBits | min(max(number, 0), maxNumber))' 'return Version(min(max(number, 0), maxNumber))' ./core/rows TestVersionsOrderAcrossEras
break_one "a commit based on rows of an earlier era" platform/table.go 'status == http.StatusOK && !hasEra(txn, era)' 'false' ./platform TestCommitAfterStoreWentBack
break_one "changes followed across eras" platform/store.go 'if reply.era != after.Era() {' 'if false {' ./platform TestCommitAfterStoreWentBack
break_one "a lease that is held on in a new era" core/lease/claim.go 'claim.priorUntil, claim.heldUntil = claim.heldUntil, time.Time{}' 'claim.priorUntil = claim.heldUntil' ./core/lease TestLeaseHasOneHolderAfterStoreWentBack
break_one "a lease that is free in the older copy, acquired at once" core/lease/claim.go 'claim.record.Holder == "" && !claim.mayHaveHolder' 'claim.record.Holder == ""' ./core/lease 'TestLeaseHasOneHolderAfterStoreWentBack|TestHolderKeepsLease'
break_one "a pending renewal that counts in a new era" core/lease/claim.go 'claim.unchangedSince, claim.mayHaveHolder = at, true
	claim.pending = pending{}' 'claim.unchangedSince, claim.mayHaveHolder = at, true' ./core/lease TestLeaseHasOneHolderAfterStoreWentBack
break_one "fencing numbers given out again" core/lease/fence.go 'fencingRow.Version.Era()*fencesPerEra + ' '' ./core/lease 'TestLeaseHasOneHolderAfterStoreWentBack|TestHolderKeepsLease'
break_one "a lease whose row is lost" io/edge/placement.go 'placement.updateRow(control.store.Absent(key, change.batch))' '_ = key' ./platform/fakes TestPlacementAfterStoreWentBack
break_one "a node whose row is lost" io/edge/nodes.go 'if control.nodeRowLost() {' 'if false {' ./platform/fakes TestNodeRowsAfterStoreWentBack
break_one "endpoints given up while the store is behind" io/edge/endpoints.go 'control.copies.watermarks[tableEndpoints].RecoveredAt = now // the endpoints' '_ = now // the endpoints' ./platform/fakes TestRequestsWhileStoreIsBehind
break_one "a removed endpoint that the older copy brings back" io/edge/endpoints.go 'found && err == nil && removed.NotOlder(endpoint)' 'found && err == nil && removed.ID == ""' ./platform/fakes TestRemovedEndpointAfterStoreWentBack
break_one "requests to an endpoint that says that it leaves" core/reach/choose.go ' && !load.Leaving(candidate.StartedAt)' '' ./core/reach TestEndpointsThatWantNoRequests
break_one "a leaving endpoint that a new row brings back" io/edge/endpoints.go 'endpoint.Draining = endpoint.Draining || endpoints.saysLeaving(endpoint)' '' ./io/edge TestRowDoesNotOverrideLeaving
break_one "a leaving endpoint that its peers do not learn of" io/edge/peers.go 'control.learnLeaving(digest, now)' '' ./platform/fakes TestRequestsAfterEndpointSaysItLeaves
break_one "requests to an endpoint before its Retry-After" core/reach/choose.go ' && !load.BackedOff(now)' '' ./core/reach TestEndpointsThatWantNoRequests
break_one "a Retry-After without a limit" platform/headers.go 'return RetryAfter{Delay: MaxRetryAfter, Unusable: value}' 'return RetryAfter{Delay: math.MaxInt64, Unusable: value}' ./platform TestRetryAfterValues
break_one "a head without a limit" io/pool/pool.go 'connection.head.limited, connection.head.left = true, maxHeadBytes' '' ./io/pool TestEndlessResponse
break_one "a body that is cut at the limit" io/pool/pool.go 'err == nil && int64(len(read)) > limit' 'false' ./io/pool 'TestEndlessResponse|TestBodyUpToTheLimit'
break_one "an event without a limit" io/entry/eventreader.go 'if eventreader.event.Len() > maxEventBytes {' 'if eventreader.event.Len() > 1<<26 {' ./io/entry TestEndlessEvent
break_one "a part of a line that passes for a line" io/entry/eventreader.go 'if !found || continued {' 'if !found {' ./io/entry TestLinesLongerThanTheBuffer
break_one "an answer that counts for nothing" core/crash/judge.go 'perUse*float64(suspected.uses-uses)' '0*perUse*float64(suspected.uses-uses)' ./core/crash TestWhichPartIsBlocked
break_one "a prompt part blamed for crashes that another one explains" core/crash/judge.go ' && !explained[incarnation] {
			crashes' ' && (true || explained[incarnation]) {
			crashes' ./core/crash TestWhichPartIsBlocked
break_one "crashes of a rack that count one by one" core/crash/judge.go 'moments := ledger.joinMoments(crashes, 1)' 'moments := crashes' ./core/crash TestWhichPartIsBlocked
break_one "a part answered before that needs as few crashes" core/crash/judge.go 'max(lowest, -perUse*float64(suspected.usesFirst)), 0' '0.0, 0' ./core/crash TestWhichPartIsBlocked
break_one "crashes of prompt parts that are not recorded" io/edge/crashes.go 'control.crashes.ledger.Record(report, true, now)' '_ = report' ./platform/fakes TestPromptPartThatCrashesEndpoints
break_one "blocks that are not stored" io/edge/blocks.go 'control.overwriteRow(blocksKey, body)' 'control.overwriteRow(blocksKey, body[:0])' ./platform/fakes TestBlocksSurviveRestartOfAllNodes
break_one "trials that do not lift a block" core/crash/ledger.go 'block.Passed++' '' ./core/crash TestBlockEnds
break_one "one trial that lifts a block" core/crash/input.go 'return policy.PassesToLift * max(1, block.Round)' 'return 1' ./core/crash TestBlockEnds
break_one "trials that need not pass in a row" core/crash/ledger.go 'block.Passed = 0' '' ./core/crash TestTrialsHaveToPassInARow
break_one "an older build that lifts blocks" core/crash/ledger.go ' || block.Lifted && !block.liftHolds(ledger.policy)' '' ./core/crash TestOlderBuildLiftsBlock
break_one "a request that is not the same as its repetition" io/entry/crash.go 'Target: request.r.URL.RequestURI()' 'Target: request.header.RequestID' ./platform/fakes TestRequestThatCrashesEndpoints/unsafe
break_one "fields of a request hashed without their lengths" core/crash/input.go '_ = binary.Write(hash, binary.BigEndian, int64(len(field)))' '_ = binary.BigEndian' ./core/crash TestSoundRequestSharesID
break_one "crashes of an unknown request that count by moments" core/crash/judge.go 'if !suspected.used() && input.IsRequest() {' 'if false {' ./core/crash TestWhichRequestIsBlocked
break_one "crashes of a popular read that count one by one" core/crash/judge.go 'if !suspected.used() && input.IsRequest() {' 'if input.IsRequest() {' ./core/crash TestWhichRequestIsBlocked
break_one "a request blamed for a part of its prompt" core/crash/judge.go 'if order != 0 || a.IsRequest() == b.IsRequest() {' 'if a.IsRequest() == b.IsRequest() {' ./core/crash TestWhichRequestIsBlocked
break_one "one of two requests as likely as each other blocked" core/crash/judge.go 'ledger.suspects[input].score != score })' 'input != best })' ./core/crash TestWhichRequestIsBlocked
break_one "the most suspicious request not reported" core/crash/ledger.go 'cmp.Or(ledger.compareSuspicion(a.Input, b.Input), b.At.Compare(a.At))' 'b.At.Compare(a.At)' ./core/crash TestNewBodiesHideCrashingRequest
break_one "a crash that another node saw not counted" io/edge/crashes.go 'for _, report := range digest.Reports {' 'for _, report := range digest.Reports[:0] {' ./platform/fakes TestCrashesSeenByDifferentNodes
break_one "a common cause of crashes not seen" core/crash/judge.go 'count >= ledger.policy.CommonCause' 'false' ./core/crash TestCrashingPartAmongOtherCrashes
break_one "an endpoint without an engine not asked whether it runs" io/edge/crashes.go 'control.checkHealth(incarnation, broken, service.HealthPath, now)' '_ = now' ./io/edge TestCrashOfPlainEndpointKnownLate
break_one "an endpoint that does not answer counts as ended" io/edge/health.go 'ended: errors.Is(err, platform.ErrEnded)' 'ended: err != nil' ./io/edge TestCrashOfPlainEndpointKnownLate
break_one "an endpoint without an engine that is never probed again" io/edge/probe.go 'service.Engine == nil {
		return' 'service.Engine == nil {
		endpoints.probing[id] = true
		return' ./io/edge TestPlainEndpointMarkedAsProbed
break_one "a suspected request sent to a second endpoint" io/entry/request.go 'request.suspected || ' '' ./platform/fakes TestSuspectedRequestSentTwice
break_one "a lifted block that its crashes bring back" core/crash/ledger.go 'ledger.clear(block.Input)
}

// clear' '}

// clear' ./core/crash TestLiftedBlockElsewhere
break_one "a lifted block that another node's crashes bring back" core/crash/ledger.go 'if block.Lifted {
		ledger.clear(block.Input)' 'if false {
		ledger.clear(block.Input)' ./core/crash TestLiftedBlockElsewhere
break_one "an answer in progress that acquits a prompt" core/crash/answers.go '!(*list)[count].BegunAt.After(until)' 'true' ./core/crash TestAnswerBeforeCrashShowsNothing
break_one "an old answer blamed for a crash" core/crash/answers.go 'now.Sub(answers.ended[count].endedAt) >= answers.policy.Linger' 'false' ./core/crash TestAnswerBeforeCrashShowsNothing
break_one "an answer that its node ended counts" core/crash/answers.go 'return answer.withdrawn || answer.doubted' 'return answer.doubted' ./core/crash TestWithdrawnAnswerShowsNothing
break_one "a crash after an answer that is not counted" io/entry/crash.go 'running, ended := server.answers.Doubt(endpoint, at)' 'running, ended := server.answers.Doubt("", at)' ./platform/fakes TestLateCrashAcquitsPart
break_one "a crash that counts before the others have reported" core/crash/judge.go 'return !recent || !times.learnedAt.After(now.Add(-ledger.policy.Settle))' 'return !recent || !times.learnedAt.After(now)' ./core/crash TestPartBlamedBeforeOthersReport
break_one "crashes that another part explains not counted at all" core/crash/judge.go '(all-unexplained)/2' '(all-unexplained)/200' ./core/crash TestWhichPartIsBlocked
break_one "crashes right after each other taken for a failed rack" core/crash/judge.go 'return ledger.joinMoments(crashes, ledger.policy.MomentScore)' 'return moments' ./core/crash TestWhichPartIsBlocked
break_one "a request taken too late in the grace" io/entry/request.go 'return request.server.stopsWithin(now, request.timeNeeded(now))' 'return request.server.stopsWithin(now, 0*request.timeNeeded(now))' ./platform/fakes TestNodeDrain
break_one "requests cut at the end of the grace" io/entry/request.go 'defer context.AfterFunc(request.server.stopping, cancel)()' '' ./platform/fakes TestLateRequestsCutAtEndOfGrace
break_one "a node that serves only what it reaches" core/reach/peer.go 'peer.Usable[key] > reached' 'peer.Usable[key] > reached && false' ./platform/fakes TestCallersOfCutOffNodesNotServed
break_one "a request that nodes pass around" io/entry/peer.go 'request.from == "" && request.peersTried' 'request.peersTried' ./platform/fakes TestRequestSentAround
break_one "another node's failure read as not run" io/entry/peer.go 'if request.mayHaveRun {' 'if false {' ./platform/fakes TestAtMostOnceThroughOtherNode
break_one "an endpoint's header between nodes believed" io/entry/peer.go 'outcome == "" || !attempt.candidate.IsPeer' 'outcome == ""' ./platform/fakes TestEndpointsHeaderPassesForNodesOutcome
break_one "another node's outcome of another request believed" io/entry/peer.go 'if !request.belongsTo(platform.ReadResponseHeader(exchange.Response)) {' 'if false {' ./io/entry TestOutcomeOfAnotherRequest
break_one "two requests without an id on one connection" io/pool/pool.go 'request.ID = noID' '_ = noID' ./platform TestCopyPassesForReport
break_one "a copy without an id taken for the answer" io/pool/pool.go 'case connection.history.contains(answerID):' 'case answerID != noID && connection.history.contains(answerID):' ./platform TestAnswerBehindCopyOfOwnIsLost
break_one "an answer with an id taken for that to a request without one" io/pool/pool.go 'case request.ID == noID:' 'case false:' ./io/pool TestAnswerWithIDPassesForOneWithout
break_one "an interim answer taken for the final one" io/pool/pool.go 'case response.StatusCode < http.StatusOK:' 'case response.StatusCode == http.StatusContinue:' ./platform/fakes TestInterimAnswerPassesForRejection
break_one "an invalid status taken for a valid one" io/pool/readhead.go 'case !validStatus(response):' 'case false:' ./platform/fakes TestInvalidStatusIsAwaited
break_one "heads that nothing counts" io/gate/conn.go 'cost > uncountedCost' 'false' ./io/gate TestHeadsTakeMoreThanBudget
break_one "a whole request closed for want of room" io/gate/conn.go '!conn.whole && stalled > 0' 'stalled > 0' ./io/gate TestFullGateClosesBehavingClient
break_one "a contradicted rejection believed" platform/headers.go 'responseheader.NotExecuted = responseheader.agreesNotRun(response)' 'responseheader.NotExecuted = true' ./platform/fakes TestContradictionPassesForRejection
break_one "a rejection with an answer behind it believed" io/entry/buffered.go '(candidate.IsPeer || exchange.HasUnread())' 'candidate.IsPeer' ./platform/fakes TestContradictionPassesForRejection
break_one "an answer with two request ids believed" platform/headers.go '> 1 {' '> 100 {' ./platform/fakes TestContradictionPassesForRejection
break_one "a command's error read as a rejection" platform/engine.go 'case http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed:' 'case http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed, http.StatusInternalServerError:' ./platform TestCommandsErrorPassesForRejection
break_one "a connection closed under a request that has come" io/drain/connection.go 'connection.received.Load() || ' '' ./io/drain TestRequestThatHasComeIsCutByDrain
break_one "a backlog reset by a drain" io/drain/listener.go 'case !accepted:' 'case true:' ./io/drain TestBacklogIsCutByDrain
break_one "another node that makes all attempts" io/entry/request.go 'if request.from != "" {
		return 1' 'if false {
		return 1' ./platform/fakes TestTooManyEndpointsThroughOtherNodes
break_one "the nodes' key passed on to an endpoint" io/entry/server.go '|| isPeerHeader(name) ' '' ./platform/fakes TestHeadersBetweenNodes
break_one "a request of a caller taken for a node's" io/entry/peer.go 'return key != "" && subtle.ConstantTimeCompare([]byte(key), []byte(server.peerKey)) == 1' 'return key != "" || subtle.ConstantTimeCompare(nil, nil) == 0' ./platform/fakes TestHeadersBetweenNodes
break_one "a cut holder that keeps the lease" core/cutoff/tracker.go 'return tracker.cutOff }' 'return false }' ./platform/fakes TestCutOffHolderEndsSoundReplicas
break_one "another node's word that is not heard" core/cutoff/tracker.go 'tracker.refutedUntil[id] = now.Add(tracker.policy.RefutedFor)' '_ = now' ./core/cutoff TestNodeTakesEndpointsForSilent
break_one "silence that counts before others can object" core/cutoff/tracker.go 'now.Sub(since) >= confirmAfter' 'now.Sub(since) >= confirmAfter-time.Hour' ./core/cutoff TestSilenceOfEndpointCounts
break_one "a cut leader that asks no other node" io/edge/cutoff.go 'return asked[:min(len(asked), maxAsked)]' 'return nil' ./io/edge TestCutLeaderAsksNobody
break_one "a request counted at two nodes" io/entry/peer.go 'if !errors.Is(err, pool.ErrUnsent) {' 'if true {' ./platform/fakes TestRequestCountedAtTwoNodes
break_one "an endpoint's address taken as it came" platform/endpoint.go 'if !isAddress(*wire.Address) {' 'if !isAddress(*wire.Address) && false {' ./platform TestEndpointRows
break_one "a limit that each node uses alone" core/limit/limit.go 'return perSecond * own / weights' 'return perSecond * own / own' ./core/limit 'TestSharesAddUp|TestNodesStayWithin'
break_one "a small limit that all nodes use at once" core/limit/limit.go 'len(users) > most' 'false && most > 0' ./core/limit TestNodesStayWithinTheLimit
break_one "a request that takes no turn" core/reach/choose.go 'best.Load.TakeTurn(request.Now)' 'true' ./core/reach TestEndpointsWithLimits
break_one "nodes that come last use an endpoint" core/limit/limit.go 'compare(self) < 0' 'compare(self) > 0' ./core/limit 'TestSharesAddUp|TestNodesOfTwoVersionsAgree'
break_one "shares that miss a node that has gone" io/edge/limits.go 'users != limits.users' 'false' ./io/edge TestSharesAreComputedOnNews
break_one "a limit that ends with a late report" io/edge/limits.go '!observation.NewerThan(control.limits.known[id])' 'false' ./io/edge TestEndOfALimit
break_one "a silent attempt that ends before another endpoint has answered" io/entry/handover.go 'handover.beginSecond()
	}' 'handover.beginSecond()
		attempt.cancel(errGone)
	}' ./io/entry TestSilentAttemptIsTakenOver
break_one "an event of an attempt that another one has taken over from" io/entry/handover.go 'if handover.takenOver {' 'if false {' ./io/entry TestAnswerComesFromOneAttempt
break_one "a second attempt that goes on beside the first" io/entry/handover.go 'handover.second.cancel(errNotNeeded)' '' ./io/entry TestAnswerComesFromOneAttempt
break_one "a request that has run at a second endpoint only, reported as not run" io/entry/handover.go 'handover.request.recordOutcome(second.result)' '' ./io/entry TestSilentAttemptIsTakenOver
break_one "an endpoint reported as lost that is given up at once" io/entry/policy.go 'GoneAfter: 2500 * time.Millisecond' 'GoneAfter: 0' ./platform/fakes TestStreamCutWhileEndpointPauses
break_one "an endpoint reported as lost that is never given up" io/entry/handover.go 'attempt.gone(time.Now())' 'false' ./io/entry TestLostEndpointIsGivenUp
break_one "a replica ended because a member pauses" io/edge/probe.go 'endpoints.pausingUntil[result.id] = now.Add(pauseTolerance)' '' ./platform/fakes TestReplicaEndedWhileMemberPauses

break_one "connections beyond the budget" io/pool/budget.go 'endpoint.hasBudget && endpoint.open >= endpoint.budget.total()' 'false' ./io/pool 'TestNoMoreConnections|TestOldest'
break_one "a place that is free before the endpoint has closed its side" io/pool/budget.go '		closeBothSides(connection.conn)' '		_ = connection.conn.Close()' ./io/pool TestEndpointThatNoticesLate
break_one "a place that is free at once after a request is given up" io/pool/budget.go 'time.AfterFunc(closeTimeout, func() {' 'time.AfterFunc(0, func() {' ./io/pool TestEndpointThatNoticesLate
break_one "probes without a place of their own" io/pool/budget.go 'return endpoint.ownInUse < endpoint.budget.Own' 'return endpoint.inUse < endpoint.budget.Requests' ./io/pool TestRequestWithoutRoom
break_one "resets that do not reduce the connections" io/edge/connections.go 'share.Requests = min(share.Requests, max(1, reduction.open-share.Own))' '_ = reduction' ./io/edge TestResetsReduceTheConnections
break_one "connections that each node uses alone" core/reach/share.go 'max(1, nodes)' '1' ./core/reach TestSharesOfConnections
break_one "an unsafe request on any kept connection" io/pool/budget.go '(!request.AtMostOnce || time.Now().Before(idle.safeUntil))' 'true' ./io/pool TestConnectionsOfRequestsThatRunOnce
break_one "an unsafe request sent into a reset" io/pool/pool.go 'if request.AtMostOnce {' 'if false {' ./io/pool TestRequestThatRunsOnceIsNotSentIntoAReset
break_one "a line for each reset" io/edge/connections.go 'now.Before(resets.nextLogAt)' 'false' ./io/edge TestResetsReduceTheConnections
break_one "a cap of 0 taken for a number of connections" platform/config.go 'errors.Is(err, strconv.ErrRange) || number < 1' 'errors.Is(err, strconv.ErrRange)' ./platform TestMaxConnectionsValues
break_one "a subset with one node too many" core/subset/subset.go 'before >= users' 'before > users' ./core/subset TestSubsets
break_one "a subset without regard to zones" core/subset/subset.go 'ranked.node.SameZone != other.node.SameZone' 'false' ./core/subset TestSubsets
break_one "budgets that are computed for each row of an endpoint" io/edge/connections.go 'now.Before(connections.nextUpdateAt)' 'false' ./io/edge TestBudgetsOfNewEndpoints

break_one "every node probes what any node finds silent" io/edge/watch.go 'case peers.role.Mesh, peers.role.IsLeader &&' 'case true, peers.role.IsLeader &&' ./io/edge TestSilenceIsProbedByEveryNode
break_one "a holder whose word about endpoints all nodes take" io/edge/watch.go 'control.watchesForOthers(endpoints.byID[id], now) {' 'control.watches(endpoints.byID[id], now) {' ./io/edge TestHolderAndWatcherDisagree
break_one "endpoints that stay lost though nobody reports it any more" io/edge/watch.go 'case now.After(listedAt.Add(lostTTL)):' 'case now.Before(listedAt):' ./io/edge TestWatchersWordIsTaken
break_one "a late node that takes endpoints for silent" io/edge/probe.go '!control.lateness.LateSince(result.sentAt, now)' 'true' ./io/edge TestLateNodeTakesEndpointsForSilent
break_one "a new holder that probes all endpoints at once" io/edge/placement.go 'len(control.endpoints.probing) < maxPendingCountProbes' 'true' ./io/edge TestNewHolderProbesAllAtOnce
break_one "a late holder that keeps the lease" io/edge/placement.go 'control.lateness.LateFor(now) < maxLateness' 'true' ./io/edge TestLateHolderKeepsTheLease
break_one "a weak node that leads its zone" core/topo/assign.go 'return a.Capacity > b.Capacity' 'return a.Capacity < b.Capacity' ./core/topo TestWeakNodeLeads

break_one "a stopping node that passes late streams on as they come" io/entry/heldstream.go 'request.readAt.After(stop.holdFrom) && request.deadline.After(stop.lastAnswerAt)' 'false' ./platform/fakes TestStreamsLateInGraceAreCut
break_one "a request sent after its context has ended" io/pool/pool.go 'if ctx.Err() != nil || request.Wanted' 'if request.Wanted' ./io/pool TestRequestIsSentAfterItsContextEnded
break_one "a request given up by an orderly close" io/pool/budget.go '_ = conn.SetLinger(0)' '_ = conn' ./io/pool TestGivenUpRequestIsDelivered
break_one "a caller's close that is not looked for" io/entry/caller.go 'return found && pool.Ended(conn)' 'return found && pool.Ended(conn) && false' ./io/entry TestBusyNodeMissesThatCallerLeft
break_one "bytes that are no answer kept like answers" core/buffer/ledger.go 'claim.answer != other.answer' 'false' ./core/buffer TestLedgerEndsWhatWeighsLeast
break_one "answers without end that are not counted" io/entry/heldbytes.go 'bytes <= uncountedBytes' 'true' ./platform/fakes 'TestAnswersWithoutEndFillMemory|TestSlowBodiesFillMemory'

break_one "a node that is cut off until others stop saying so" core/cutoff/tracker.go 'case tracker.view.Alone, tracker.view.AnsweredAt.After(tracker.cutOffSince):' 'default:' ./core/cutoff TestNodeTakesEndpointsForSilent
break_one "answers to others that count though the endpoint was not asked again" core/cutoff/tracker.go 'return !tracker.view.FailedAt[id].Before(tracker.claimedAt[id])' 'return true' ./core/cutoff TestNodeTakesEndpointsForSilent
break_one "answers to others before the silence that count" core/cutoff/tracker.go 'silent && !at.Before(since) && ' 'silent && !at.Before(since.Add(-time.Hour)) && ' ./core/cutoff TestNodeTakesEndpointsForSilent

break_one "sums of two leaders that are added up" core/topo/scope.go 'return [][]Source{all}' 'return [][]Source{all[:1], all[1:]}' ./core/topo TestSumsOfTwoLeadersCountedTwice
break_one "a total of a source that was silent taken for growth" core/topo/growth.go 'grown := make([]Counters, len(groups))' 'for source, counters := range previous {
		growth.previous[source] = counters
	}
	grown := make([]Counters, len(groups))' ./core/topo TestReturnTakenForGrowth
break_one "a cut-off node that holds all others for gone" core/member/members.go 'return 2*heard > known' 'return true' ./core/member TestGoneNodesStayMembers
break_one "a node held for gone by what it missed while this one was frozen" core/member/members.go 'case unheard, member.failures < policy.MinFailures:' 'case unheard:' ./core/member TestGoneNodesStayMembers
break_one "a row removed while the store has just come back" core/member/members.go '|| now.Sub(settledSince) < members.policy.SettledFor' '' ./core/member TestRowsAreRemovedTooSoon
break_one "nodes that are gone and keep their shares" io/edge/members.go 'if peers.members.IsGone(name) {' 'if false {' ./io/edge TestGoneNodeHasShares

break_one "a connection that carries an ID twice" io/pool/budget.go '!idle.history.contains(request.ID)' 'true' ./platform/fakes TestCopyOfRefusalPassesForRefusal/directly
break_one "a connection with more IDs than are remembered" io/pool/history.go 'len(history.ids) >= maxHistory' 'false' ./io/pool TestCopyOfAnswerBearsIDOfPresentRequest
break_one "a copy of another request's answer taken for a failure" io/pool/pool.go '!connection.history.contains(answerIDs[0])' 'true' ./platform/fakes TestAnswerBehindCopyOfAnotherIsLost
break_one "HEAD and other requests on one connection" io/pool/budget.go ' && idle.headOnly == request.isHead()' '' ./io/pool TestCopyReadWithMethodOfPresentRequest
break_one "a request sent to two entries of one address on one connection" io/pool/budget.go '!idle.history.contains(request.ID)' 'true' ./platform/fakes TestCopyOfRefusalForFormerEndpoint
break_one "Retry-After of an answer to another request" io/entry/buffered.go 'if len(responseheader.RequestIDs) > 0 && !request.belongsTo(responseheader) {
		return responseheader' 'if false {
		return responseheader' ./io/entry TestHeadersOfAnotherAnswerApply
break_one "a node that answers for the one that had its address" io/edge/peers.go 'if reply.Node != name {' 'if false {' ./io/edge TestNodeAtFormerAddressAnswersForAnother

# The search for orders of events that break a property finds these without a test of the order.
life=TestOneRequestsLife
break_one "a connection that carries an ID twice" io/pool/budget.go '!idle.history.contains(request.ID)' 'true' ./io/entry $life
break_one "the copy of an answer to HEAD read with a body" io/pool/budget.go ' && idle.headOnly == request.isHead()' '' ./io/entry $life
break_one "every answer taken for the request's own" io/entry/buffered.go 'return request.header.RequestID == "" || responseheader.RequestID == request.header.RequestID' 'return true' ./io/entry $life
break_one "a rejection believed whatever contradicts it" platform/headers.go 'responseheader.NotExecuted = responseheader.agreesNotRun(response)' 'responseheader.NotExecuted = true' ./io/entry $life
break_one "any interim answer taken for the final one" io/pool/pool.go 'case response.StatusCode < http.StatusOK:' 'case false:' ./io/entry $life
break_one "a request sent again after an incomplete answer" io/entry/handover.go '		request.mayHaveRun = true' '' ./io/entry $life
break_one "a resumed stream that begins anew" platform/headers.go 'if forwardheader.LastEventID != "" {' 'if false {' ./io/entry $life
break_one "requests that a stopping node does not end" io/entry/request.go 'defer context.AfterFunc(request.server.stopping, cancel)()' '' ./io/entry $life
break_one "a second attempt whose outcome is not recorded" io/entry/handover.go 'handover.request.recordOutcome(second, second.result)' '' ./io/entry $life

[ "$missed" -eq 0 ] && echo "every break was noticed"
exit "$missed"
