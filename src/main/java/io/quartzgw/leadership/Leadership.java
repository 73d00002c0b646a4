package io.quartzgw.leadership;

import io.quartzgw.cancellation.CancellationWatermark;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.store.StoreClient;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This controller's role: it takes part in elections while nobody leads, and keeps or gives up the term that it won.
 *
 * <p>There are two fences. The state store fences by the term: every write of a leader requires the revision of the
 * term key. Agents fence by the token, which is the term. So a leader that can't confirm its lease may go on answering
 * heartbeats for a grace period, while it starts, rents, deletes and finishes nothing.
 */
public final class Leadership {
    private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);

    /** Prefix of the election keys. */
    public static final String PREFIX = "lead/";
    /** The key of the term, which has no lease. Writes of a leader require its revision. */
    public static final String TERM_KEY = "lead/term";
    /** The key of the leader record, which is attached to the leader's lease. */
    static final String LEADER_KEY = "lead/leader";
    /** The key of the last deposition, which names the deposed leader's term. */
    static final String DEPOSED_KEY = "lead/deposed";

    private static final int RENEWALS_PER_LEASE = 4;

    /** Receives changes of this controller's role, on the event loop's thread. */
    public interface Listener {
        /** This controller leads from now on. */
        void elected(long term, long termRevision);

        /** This controller leads no longer. */
        void leadershipLost();
    }

    private final EventLoop eventLoop;
    private final StoreClient store;
    private final LeadershipTiming timing;
    private final ControllerIdentity identity;
    private final CancellationWatermark watermark;
    private final ElectionState state;
    private final Candidacy candidacy;
    private final LeaderDeposition deposition;
    private Listener listener;

    private long highestObservedTerm;
    private long term;
    /** The lease of the current term; present only while this controller leads. */
    private Optional<LeaderLease> lease = Optional.empty();

    /** @param watermark the moment before which this controller knows all cancellations */
    public Leadership(
            EventLoop eventLoop,
            StoreClient store,
            LeadershipTiming timing,
            ControllerIdentity identity,
            CancellationWatermark watermark) {
        this.eventLoop = eventLoop;
        this.store = store;
        this.timing = timing;
        this.identity = identity;
        this.watermark = watermark;
        this.state = new ElectionState(eventLoop, store, this::evaluateRole);
        this.candidacy = new Candidacy(eventLoop, store, timing, identity, state, new CandidacyOwner());
        this.deposition = new LeaderDeposition(eventLoop, store, state, timing);
    }

    /** Begins to watch the election keys and to take part in elections. */
    public void start(Listener listener) {
        this.listener = listener;
        state.reload();
        eventLoop.every(timing.leaseMs() / RENEWALS_PER_LEASE, () -> lease.ifPresent(LeaderLease::renew));
    }

    /** Whether this controller leads, as far as it knows. */
    public boolean leading() {
        return lease.isPresent();
    }

    /** The last term that this controller has led with; 0 before the first. */
    public long term() {
        return term;
    }

    /** Whether this controller surely still leads: nobody else can have been elected. */
    public boolean isConfirmed() {
        return lease.map(LeaderLease::isConfirmed).orElse(false);
    }

    /** Whether this controller leads, and its lease is confirmed for a short time only since it was not renewed. */
    boolean isConfirmationEnding() {
        return lease.filter(LeaderLease::isConfirmationEnding).isPresent();
    }

    /** Until when this controller surely leads, as of now; what only a confirmed leader may send leaves before. */
    public long confirmedUntilMs() {
        return lease.map(LeaderLease::confirmedUntilMs).orElse(Long.MIN_VALUE);
    }

    /** How long ago the last successful renewal of this leader's lease was requested; 0 while it does not lead. */
    public long confirmedAgeMs() {
        return lease.map(current -> eventLoop.nowMs() - current.confirmedAtMs()).orElse(0L);
    }

    /**
     * Whether this controller may answer agents, and so renew their leases. An answer has the commands that stop the
     * tasks of every job that this controller knows as cancelled; the grace period bounds how long ago a job that it
     * doesn't know may have been cancelled. That holds from the election on, also while the stored state is being read.
     */
    public boolean mayRenewAgentLeases() {
        return lease.map(current ->
                        eventLoop.nowMs() < watermark.knownUntilMs(current.confirmedAtMs()) + timing.graceMs())
                .orElse(false);
    }

    /** The revision of the term key under this controller's term. */
    public long termRevision() {
        return state.termRevision();
    }

    /** The highest term that this controller has led with or observed; it answers agents with none below. */
    public long highestTerm() {
        return Math.max(term, highestObservedTerm);
    }

    /** The member that leads as far as this controller knows. */
    public Optional<String> leader() {
        return leading() ? Optional.of(identity.member()) : state.leader().map(LeaderRecord::member);
    }

    /** Whether this controller has read the election keys since it was started. */
    public boolean hasReadStore() {
        return state.initialized();
    }

    /** Gives up the term in favour of another controller, and takes part in no election for a while. */
    public void resign(long backOffMs) {
        if (leading()) {
            candidacy.backOff(backOffMs);
            stepDown(StepDownReason.RESIGNED);
            state.reload();
            eventLoop.after(backOffMs, this::evaluateRole);
        }
    }

    /** Records a term that an agent or a peer has shown; a higher one than this controller's ends its leadership. */
    public void observeTerm(long observedTerm) {
        highestObservedTerm = Math.max(highestObservedTerm, observedTerm);
        if (leading() && observedTerm > term) {
            stepDown(StepDownReason.HIGHER_TERM_OBSERVED);
            state.reload();
        }
    }

    /** The stored leader record as far as this controller knows. */
    Optional<LeaderRecord> leaderRecord() {
        return state.leader();
    }

    /**
     * Records that a peer has answered as a process. If the leader record, as it was known when the peer was asked,
     * names another process of the peer, that one is dead; a record that came meanwhile may name a newer one.
     */
    void recordPeerProcess(ControllerIdentity peer, Optional<LeaderRecord> recordAtRequest) {
        if (leading() || state.leader().isEmpty() || !state.leader().equals(recordAtRequest)) {
            return;
        }
        LeaderRecord leader = state.leader().get();
        if (leader.member().equals(peer.member()) && leader.process() != peer.process()) {
            LOG.atInfo()
                    .addKeyValue("member", peer.member())
                    .addKeyValue("term", leader.term())
                    .addKeyValue("former_process", leader.process())
                    .addKeyValue("process", peer.process())
                    .log("leader restart detected");
            candidacy.markTerminated(leader.process());
            candidacy.scheduleAttempt();
        }
    }

    /** Ends the term of the recorded leader, which a majority of the controllers has not heard for long. */
    void deposeUnresponsiveLeader() {
        if (!leading()) {
            state.leader().ifPresent(deposition::depose);
        }
    }

    private void evaluateRole() {
        deposition.recordDepositions();
        candidacy.logStatusChange();
        if (leading()) {
            if (state.term() > term) {
                stepDown(StepDownReason.HIGHER_TERM_STORED);
            }
        } else if (candidacy.isLeadershipVacant()) {
            candidacy.scheduleAttempt();
        } else {
            state.leader().filter(this::isUnobservedElectionWin).ifPresent(this::adoptElectionWin);
        }
    }

    /** Whether an election whose outcome was lost, or whose transaction was applied late, was won after all. */
    private boolean isUnobservedElectionWin(LeaderRecord leader) {
        return leader.process() == identity.process() && leader.term() == state.term() && leader.term() > term;
    }

    private void adoptElectionWin(LeaderRecord leader) {
        // When the lease began is not known: it counts as unconfirmed until it is renewed.
        long unconfirmedAtMs = eventLoop.nowMs() - timing.leaseMs();
        becomeLeader(leader.term(), leader.leaseId(), unconfirmedAtMs, candidacy.holdBackUntilMs(leader.term()));
    }

    /** Connects the candidacy to this role. */
    private final class CandidacyOwner implements Candidacy.Owner {
        @Override
        public boolean leading() {
            return Leadership.this.leading();
        }

        @Override
        public long highestTerm() {
            return Leadership.this.highestTerm();
        }

        @Override
        public void electionWon(Candidacy.WonElection wonElection) {
            // The watch may have reported the victory first: then its lease is in use already.
            if (!leading() && wonElection.term() > term) {
                state.applyWonElection(wonElection.term(), wonElection.termRevision());
                becomeLeader(
                        wonElection.term(),
                        wonElection.leaseId(),
                        wonElection.requestedAtMs(),
                        wonElection.holdBackUntilMs());
            }
        }
    }

    private void becomeLeader(long wonTerm, long leaseId, long confirmedAtMs, long holdBackUntilMs) {
        LeaderLease wonLease = new LeaderLease(
                eventLoop, store, timing, leaseId, confirmedAtMs, holdBackUntilMs, this::onLeaseExpired);
        term = wonTerm;
        lease = Optional.of(wonLease);
        watermark.resetStoreRead();
        LOG.atInfo()
                .addKeyValue("term", term)
                .addKeyValue("term_revision", termRevision())
                .addKeyValue("process", identity.process())
                .log("leadership acquired");
        wonLease.renew();
        listener.elected(term, termRevision());
    }

    private void onLeaseExpired() {
        stepDown(StepDownReason.LEASE_EXPIRED);
        state.reload();
    }

    private void stepDown(StepDownReason reason) {
        LOG.atInfo()
                .addKeyValue("reason", reason.logValue())
                .addKeyValue("term", term)
                .addKeyValue("highest_term", highestTerm())
                .addKeyValue("stored_term", state.term())
                .addKeyValue("confirmed", isConfirmed())
                .addKeyValue("confirmed_age_ms", confirmedAgeMs())
                .log("leadership lost");
        LeaderLease lostLease = lease.orElseThrow();
        lease = Optional.empty();
        lostLease.release();
        listener.leadershipLost();
    }
}
