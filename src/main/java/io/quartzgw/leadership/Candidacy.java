package io.quartzgw.leadership;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.store.LeaseGrant;
import io.quartzgw.store.RequestUrgency;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.Transaction;
import io.quartzgw.store.TransactionOutcome;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs the election attempts of this controller, one at a time, while the leadership is vacant. */
final class Candidacy {
    private static final Logger LOG = LoggerFactory.getLogger(Candidacy.class);

    /** The value of {@code holdBackUntilMs} if the previous leader was not deposed. */
    private static final long NOT_DELAYED = Long.MIN_VALUE;

    private static final int RETRY_DELAY_MS = 250;
    /** Spreads the attempts of the candidates, so that usually one transaction succeeds without a conflict. */
    private static final int MAX_JITTER_MS = 60;

    /** The leadership state of this controller, which a candidacy queries and notifies. */
    interface LeadershipState {
        boolean leading();

        /** Returns the highest term that this controller has observed, apart from the stored term. */
        long highestTerm();

        void electionWon(WonElection wonElection);
    }

    /**
     * A won election.
     *
     * @param termRevision the revision of the term key that the election wrote
     * @param requestedAtMs when the lease was requested, which is the earliest time at which it can have started
     * @param holdBackUntilMs this leader does not count as confirmed before that time, because until then a deposed
     *     leader ({@link LeaderDeposition}) may still consider itself confirmed
     */
    record WonElection(long term, long termRevision, long leaseId, long requestedAtMs, long holdBackUntilMs) {}

    /** The candidacy reason and the controller that the leader record names, or an empty string. */
    private record Status(CandidacyReason reason, String leader) {}

    /**
     * An election attempt (not an attempt of a task): the term to win, and the revisions of the election keys that its
     * transaction requires. It is logged under the names of its components.
     */
    private record Attempt(
            long term,
            long requiredLeaderRevision,
            long requiredTermRevision,
            long requiredDeposedRevision,
            long requestedAtMs,
            long holdBackUntilMs) {}

    private final EventLoop eventLoop;
    private final StoreClient store;
    private final LeadershipTiming timing;
    private final ControllerIdentity identity;
    private final ElectionState state;
    private final LeadershipState leadership;
    private final Set<Long> terminatedProcesses = new HashSet<>();
    private Optional<Status> loggedStatus = Optional.empty();
    private Optional<Attempt> lastAttempt = Optional.empty();
    private boolean attemptInProgress;
    private long backOffUntilMs = Long.MIN_VALUE;

    Candidacy(
            EventLoop eventLoop,
            StoreClient store,
            LeadershipTiming timing,
            ControllerIdentity identity,
            ElectionState state,
            LeadershipState leadership) {
        this.eventLoop = eventLoop;
        this.store = store;
        this.timing = timing;
        this.identity = identity;
        this.state = state;
        this.leadership = leadership;
    }

    /** Suspends the attempts for some time, so that another controller is elected. */
    void backOff(long durationMs) {
        backOffUntilMs = eventLoop.nowMs() + durationMs;
    }

    /** Records that a process has terminated. A leader record that names it is ignored. */
    void markTerminated(long process) {
        terminatedProcesses.add(process);
    }

    /** Returns whether there is no leader record, or it names a process that is known to have terminated. */
    boolean isLeadershipVacant() {
        return state.leader().map(this::isTerminated).orElse(true);
    }

    private boolean isTerminated(LeaderRecord leader) {
        // Another process of this controller must have terminated, since this process is running.
        boolean previousProcess = leader.member().equals(identity.member()) && leader.process() != identity.process();
        return previousProcess || terminatedProcesses.contains(leader.process());
    }

    /** Logs whether this controller is a candidate, and the reason, if that has changed. */
    void logStatusChange() {
        Status status = currentStatus();
        if (loggedStatus.filter(status::equals).isEmpty()) {
            loggedStatus = Optional.of(status);
            LOG.atInfo()
                    .addKeyValue("reason", status.reason().logValue())
                    .addKeyValue("leader", status.leader())
                    .addKeyValue("term", state.term())
                    .log("candidacy changed");
        }
    }

    private Status currentStatus() {
        CandidacyReason reason;
        if (leadership.leading()) {
            reason = CandidacyReason.LEADING;
        } else if (!isLeadershipVacant()) {
            reason = CandidacyReason.LED;
        } else if (isBackingOff()) {
            reason = CandidacyReason.BACKING_OFF;
        } else {
            reason = CandidacyReason.VACANT;
        }
        return new Status(reason, state.leader().map(LeaderRecord::member).orElse(""));
    }

    /** Schedules an election attempt, unless one is in progress or this controller is backing off. */
    void scheduleAttempt() {
        if (attemptInProgress || isBackingOff()) {
            return;
        }
        attemptInProgress = true;
        LOG.atDebug()
                .addKeyValue("term", nextTerm())
                .addKeyValue("former_leader", state.leader().orElse(null))
                .log("election scheduled");
        eventLoop.after(eventLoop.random().nextInt(MAX_JITTER_MS), this::beginAttempt);
    }

    private boolean isBackingOff() {
        return eventLoop.nowMs() < backOffUntilMs;
    }

    private long nextTerm() {
        return FencingTokens.termAfter(Math.max(state.term(), leadership.highestTerm()));
    }

    private void beginAttempt() {
        // Another candidate may have won since this attempt was scheduled.
        if (leadership.leading() || !isLeadershipVacant() || isBackingOff()) {
            attemptInProgress = false;
            return;
        }
        Attempt attempt = new Attempt(
                nextTerm(),
                state.leaderRevision(),
                state.termRevision(),
                state.deposedRevision(),
                eventLoop.nowMs(),
                holdBackUntilMs());
        lastAttempt = Optional.of(attempt);
        store.grantLease(timing.leaseMs(), grant -> onLeaseGrant(attempt, grant));
    }

    // For a new attempt: the time before which its leader must not count as confirmed.
    private long holdBackUntilMs() {
        boolean previousLeaderDeposed = state.deposedTerm() > 0 && state.deposedTerm() == state.term();
        return previousLeaderDeposed ? eventLoop.nowMs() + timing.leaseMs() : NOT_DELAYED;
    }

    /**
     * Returns the time before which a leader must not count as confirmed, for a term that this candidacy won without
     * receiving the outcome. If the attempt is no longer known, assumes that the previous leader was deposed, and waits
     * for one lease.
     */
    long holdBackUntilMs(long wonTerm) {
        return lastAttempt
                .filter(attempt -> attempt.term() == wonTerm)
                .map(Attempt::holdBackUntilMs)
                .orElse(eventLoop.nowMs() + timing.leaseMs());
    }

    private void onLeaseGrant(Attempt attempt, LeaseGrant grant) {
        if (grant instanceof LeaseGrant.Granted granted) {
            store.commit(
                    electionTransaction(attempt, granted.leaseId()),
                    RequestUrgency.ELECTION,
                    outcome -> onOutcome(attempt, granted.leaseId(), outcome));
        } else {
            logFailure(attempt, grant);
            scheduleRetry();
        }
    }

    private Transaction electionTransaction(Attempt attempt, long leaseId) {
        LeaderRecord leader = new LeaderRecord(identity.member(), identity.process(), attempt.term(), leaseId);
        return new Transaction()
                .require(Leadership.LEADER_KEY, attempt.requiredLeaderRevision())
                .require(Leadership.TERM_KEY, attempt.requiredTermRevision())
                .require(Leadership.DEPOSED_KEY, attempt.requiredDeposedRevision())
                .putWithLease(Leadership.LEADER_KEY, LeaderRecordCodec.encode(leader), leaseId)
                .put(Leadership.TERM_KEY, LeaderRecordCodec.encodeTerm(attempt.term()));
    }

    private void onOutcome(Attempt attempt, long leaseId, TransactionOutcome outcome) {
        if (outcome instanceof TransactionOutcome.Committed committed) {
            attemptInProgress = false;
            leadership.electionWon(new WonElection(
                    attempt.term(), committed.revision(), leaseId, attempt.requestedAtMs(), attempt.holdBackUntilMs()));
            return;
        }
        logFailure(attempt, outcome);
        // A transaction with an unknown outcome may still be applied, so its lease is not revoked.
        if (!(outcome instanceof TransactionOutcome.Unknown)) {
            store.revokeLease(leaseId);
        }
        scheduleRetry();
    }

    private static void logFailure(Attempt attempt, Object result) {
        LOG.atDebug()
                .addKeyValue("attempt", attempt)
                .addKeyValue("result", result)
                .log("election attempt failed");
    }

    private void scheduleRetry() {
        eventLoop.after(RETRY_DELAY_MS, () -> {
            attemptInProgress = false;
            if (!leadership.leading()) {
                state.reload();
            }
        });
    }
}
