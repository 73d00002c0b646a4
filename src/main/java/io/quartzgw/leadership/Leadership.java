package io.quartzgw.leadership;

import io.quartzgw.cancellation.CancellationWatermark;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.store.StoreClient;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The role of this controller. It is a candidate while there is no leader; after a won election it leads until it steps
 * down.
 *
 * <p>Stale leaders are fenced off twice. In the state service, every write of a leader requires the revision of the
 * term key. Agents reject messages whose fencing token, which belongs to the term, is too low. So a leader that can't
 * confirm its lease may still answer heartbeats for a grace period. In that time it starts and completes no task, and
 * rents and deletes no machine.
 */
public final class Leadership {
    private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);

    /** Prefix of the election keys. */
    public static final String PREFIX = "lead/";
    /** The key of the current term, which has no lease. Every write of a leader requires its revision. */
    public static final String TERM_KEY = "lead/term";
    /** The key of the leader record. It is attached to the leader's lease, so it is deleted when the lease expires. */
    static final String LEADER_KEY = "lead/leader";
    /** The key of the last deposition. Its value is the term of the deposed leader. */
    static final String DEPOSED_KEY = "lead/deposed";

    private static final int RENEWALS_PER_LEASE = 4;

    /** Is notified of changes of this controller's role, on the event loop's thread. */
    public interface Listener {
        /** This controller has become the leader. */
        void elected(long term, long termRevision);

        /** This controller has stepped down. */
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
    /** The lease of the current term, present only while this controller leads. */
    private Optional<LeaderLease> lease = Optional.empty();

    /** @param watermark the time before which this controller has recorded all cancellations */
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
        this.candidacy = new Candidacy(eventLoop, store, timing, identity, state, new CurrentLeadershipState());
        this.deposition = new LeaderDeposition(eventLoop, store, state, timing);
    }

    /** Starts watching the election keys and taking part in elections. */
    public void start(Listener listener) {
        this.listener = listener;
        state.reload();
        eventLoop.every(timing.leaseMs() / RENEWALS_PER_LEASE, () -> lease.ifPresent(LeaderLease::renew));
    }

    /** Returns whether this controller considers itself the leader; its lease may have expired unnoticed. */
    public boolean isLeading() {
        return lease.isPresent();
    }

    /** Returns the last term in which this controller led, or 0 if it has not led yet. */
    public long term() {
        return term;
    }

    /** Returns whether this controller is the confirmed leader: no other controller can have been elected. */
    public boolean isConfirmed() {
        return lease.map(LeaderLease::isConfirmed).orElse(false);
    }

    /** Returns whether this controller leads and will soon lose its confirmation unless the lease is renewed. */
    boolean isConfirmationEnding() {
        return lease.filter(LeaderLease::isConfirmationEnding).isPresent();
    }

    /**
     * Returns the time until which this controller is confirmed as leader if its lease is not renewed again. Messages
     * that only a confirmed leader may send must be sent before this time.
     */
    public long confirmedUntilMs() {
        return lease.map(LeaderLease::confirmedUntilMs).orElse(Long.MIN_VALUE);
    }

    /**
     * Returns the time since the last successful lease renewal was requested, or 0 if this controller does not lead.
     */
    public long confirmedAgeMs() {
        return lease.map(current -> eventLoop.nowMs() - current.confirmedAtMs()).orElse(0L);
    }

    /**
     * Returns whether this controller may answer heartbeats and thereby renew the leases of agents. A heartbeat
     * response carries the commands to stop the tasks of all jobs whose cancellation this controller has recorded. The
     * grace period limits the age of cancellations that it may have missed. This applies from the election on, even
     * while the stored state is being read.
     */
    public boolean mayRenewAgentLeases() {
        return lease.map(current ->
                        eventLoop.nowMs() < watermark.knownUntilMs(current.confirmedAtMs()) + timing.graceMs())
                .orElse(false);
    }

    /** Returns the revision of the term key; for a leader, the one written by its election. */
    public long termRevision() {
        return state.termRevision();
    }

    /**
     * Returns the highest term that this controller led in or observed. It no longer answers agents in a lower term.
     */
    public long highestTerm() {
        return Math.max(term, highestObservedTerm);
    }

    /** Returns the name of the leading controller, according to this controller's copy of the election keys. */
    public Optional<String> leader() {
        return isLeading() ? Optional.of(identity.member()) : state.leader().map(LeaderRecord::member);
    }

    /** Returns whether this controller has read the election keys since its start. */
    public boolean hasReadElectionState() {
        return state.initialized();
    }

    /** Steps down in favour of another controller and takes part in no election during the back-off. */
    public void resign(long backOffMs) {
        if (isLeading()) {
            candidacy.backOff(backOffMs);
            stepDown(StepDownReason.RESIGNED);
            state.reload();
            eventLoop.after(backOffMs, this::evaluateRole);
        }
    }

    /** Records a term from a message of an agent or a peer. A leader steps down if it is higher than its own term. */
    public void observeTerm(long observedTerm) {
        highestObservedTerm = Math.max(highestObservedTerm, observedTerm);
        if (isLeading() && observedTerm > term) {
            stepDown(StepDownReason.HIGHER_TERM_OBSERVED);
            state.reload();
        }
    }

    /** Returns the leader record in this controller's copy of the election keys. */
    Optional<LeaderRecord> leaderRecord() {
        return state.leader();
    }

    /**
     * Records which process of a peer has responded. If the leader record names another process of this peer, that
     * process has terminated, and this controller becomes a candidate. The record must be the same as when the request
     * was sent: a record received since then may name a newer process.
     */
    void recordPeerProcess(ControllerIdentity peer, Optional<LeaderRecord> recordAtRequest) {
        if (isLeading() || state.leader().isEmpty() || !state.leader().equals(recordAtRequest)) {
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

    /** Deposes the leader that the leader record names, after a majority of the controllers found it unresponsive. */
    void deposeUnresponsiveLeader() {
        if (!isLeading()) {
            state.leader().ifPresent(deposition::depose);
        }
    }

    private void evaluateRole() {
        deposition.recordDepositions();
        candidacy.logStatusChange();
        if (isLeading()) {
            if (state.term() > term) {
                stepDown(StepDownReason.HIGHER_TERM_STORED);
            }
        } else if (candidacy.isLeadershipVacant()) {
            candidacy.scheduleAttempt();
        } else {
            state.leader().filter(this::isUnobservedElectionWin).ifPresent(this::adoptElectionWin);
        }
    }

    /** Returns whether this controller won an election whose outcome was lost or whose transaction was applied late. */
    private boolean isUnobservedElectionWin(LeaderRecord leader) {
        return leader.process() == identity.process() && leader.term() == state.term() && leader.term() > term;
    }

    private void adoptElectionWin(LeaderRecord leader) {
        // The start of the lease is unknown, so it counts as unconfirmed until it is renewed.
        long unconfirmedAtMs = eventLoop.nowMs() - timing.leaseMs();
        becomeLeader(leader.term(), leader.leaseId(), unconfirmedAtMs, candidacy.holdBackUntilMs(leader.term()));
    }

    /** Connects the candidacy to this controller's role. */
    private final class CurrentLeadershipState implements Candidacy.LeadershipState {
        @Override
        public boolean leading() {
            return Leadership.this.isLeading();
        }

        @Override
        public long highestTerm() {
            return Leadership.this.highestTerm();
        }

        @Override
        public void electionWon(Candidacy.WonElection wonElection) {
            // If the watch reported the won election first, its lease is already in use.
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
