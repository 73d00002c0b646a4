package io.quartzgw.leadership;

import io.quartzgw.cancellation.CancellationWatermark;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Json;
import io.quartzgw.store.KeyChange;
import io.quartzgw.store.KeyValue;
import io.quartzgw.store.RequestUrgency;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.Transaction;
import io.quartzgw.store.TransactionOutcome;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Elects this node when nobody leads, and keeps or gives up its term.
 *
 * <p>Two fences are kept apart. The state service fences by the term: every write of a leader guards the term key's
 * revision. Workers fence by the token, which is the term. So a leader that can't confirm its hold may go on answering
 * reports for a grace, while it starts, hires, deletes and finishes nothing.
 */
public final class Leadership {
    private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);

    public static final String PREFIX = "lead/";
    public static final String TERM_KEY = "lead/term";
    private static final String LEADER_KEY = "lead/leader";
    private static final int RENEWALS_PER_LEASE = 4;
    private static final int RETRY_MS = 250;
    /** Spreads the candidates, so that mostly one transaction wins without a conflict. */
    private static final int CAMPAIGN_JITTER_MS = 60;
    /** Steady clocks drift by 0.05%; a hold is trusted for a little less than its time. */
    private static final double TRUSTED_LEASE_FRACTION = 0.99;

    /** Told on the owner thread when this node's part changes. */
    public interface Listener {
        void elected(long term, long termRevision);

        void leadershipLost();
    }

    private final EventLoop eventLoop;
    private final StoreClient store;
    private final LeadershipTiming timing;
    private final String member;
    private final long process;
    private final CancellationWatermark watermark;
    private Listener listener;

    private boolean recordKnown;
    private long watchGeneration;
    private LeaderRecord leaderRecord;
    private long leaderRecordRevision;
    private long storedTerm;
    private long termRevision;
    private long highestTerm;
    private boolean campaigning;
    private long backOffUntil = Long.MIN_VALUE;
    private final Set<Long> deadProcesses = new HashSet<>();

    private boolean leading;
    private long term;
    private long leaseId;
    private long leaseConfirmedAt;

    /** @param process number of this process, which no other process of the member has */
    public Leadership(
            EventLoop eventLoop,
            StoreClient store,
            LeadershipTiming timing,
            String member,
            long process,
            CancellationWatermark watermark) {
        this.eventLoop = eventLoop;
        this.store = store;
        this.timing = timing;
        this.member = member;
        this.process = process;
        this.watermark = watermark;
    }

    /** Begins to follow the leader record and to stand for election. */
    public void start(Listener listener) {
        this.listener = listener;
        watchLeaderRecord();
        eventLoop.every(timing.leaseMs() / RENEWALS_PER_LEASE, this::renewLease);
    }

    public boolean leading() {
        return leading;
    }

    public long term() {
        return term;
    }

    /** Whether this node surely still holds its term: nobody else can have been elected. */
    public boolean isConfirmed() {
        return leading && eventLoop.nowMs() < leaseConfirmedAt + (long) (timing.leaseMs() * TRUSTED_LEASE_FRACTION);
    }

    /**
     * Whether this node may answer workers, and so renew their leases. An answer has the orders that stop the tasks of
     * every job that this node knows as cancelled; the grace bounds how long ago one may have been cancelled that it
     * doesn't know. That holds from the election on, also while hard state is being read.
     */
    public boolean mayRenewAgentLeases() {
        return leading && eventLoop.nowMs() < watermark.knownUntil(leaseConfirmedAt) + timing.graceMs();
    }

    /** The revision of the term key under this node's term. */
    public long termRevision() {
        return termRevision;
    }

    /** The highest term that this node has led with or heard of; it answers workers with none below. */
    public long highestTerm() {
        return Math.max(term, highestTerm);
    }

    /** The member that leads as far as this node knows, or null. */
    public String leaderMember() {
        return leading ? member : leaderRecord == null ? null : leaderRecord.member();
    }

    public boolean hasReadStore() {
        return recordKnown;
    }

    /** Gives the term up to another node, and does not stand again for a while. */
    public void resign(long backOffMs) {
        if (leading) {
            backOffUntil = eventLoop.nowMs() + backOffMs;
            stepDown();
            watchLeaderRecord();
            eventLoop.after(backOffMs, this::evaluateCandidacy);
        }
    }

    /** A higher term was seen at a worker or a peer: whoever leads with a lower one is no leader. */
    public void observeTerm(long observedTerm) {
        highestTerm = Math.max(highestTerm, observedTerm);
        if (leading && observedTerm > term) {
            LOG.info("term {} was seen, stepping down from {}", observedTerm, term);
            stepDown();
            watchLeaderRecord();
        }
    }

    /** The record of who leads, as far as this node knows; null for none. */
    LeaderRecord leaderRecord() {
        return leaderRecord;
    }

    /**
     * A member answers as this process. If the record, as it was known when the member was asked, names another of its
     * processes, that one is dead; a record that came meanwhile may name a newer one.
     */
    void observeMemberProcess(String otherMember, long processId, LeaderRecord recordWhenAsked) {
        if (!leading
                && leaderRecord != null
                && leaderRecord.equals(recordWhenAsked)
                && leaderRecord.member().equals(otherMember)
                && leaderRecord.process() != processId) {
            LOG.info("leader {} was restarted, taking over", otherMember);
            deadProcesses.add(leaderRecord.process());
            scheduleCampaign();
        }
    }

    // ---- observing

    private void watchLeaderRecord() {
        long watchId = ++watchGeneration;
        store.list(PREFIX, listing -> {
            if (watchId != watchGeneration) {
                return;
            }
            if (listing == null) {
                eventLoop.after(RETRY_MS, () -> {
                    if (watchId == watchGeneration) {
                        watchLeaderRecord();
                    }
                });
                return;
            }
            leaderRecord = null;
            leaderRecordRevision = Transaction.NO_REVISION;
            storedTerm = 0;
            termRevision = Transaction.NO_REVISION;
            for (KeyValue entry : listing.entries()) {
                applyChange(new KeyChange(entry.key(), entry.value(), entry.revision()));
            }
            recordKnown = true;
            evaluateCandidacy();
            store.watch(PREFIX, listing.revision(), listing.readAt(), watcher(watchId));
        });
    }

    private StoreClient.Watcher watcher(long watchId) {
        return new StoreClient.Watcher() {
            @Override
            public boolean active() {
                return watchId == watchGeneration;
            }

            @Override
            public void onChanges(List<KeyChange> changes) {
                changes.forEach(Leadership.this::applyChange);
                evaluateCandidacy();
            }

            @Override
            public void onCompacted() {
                watchLeaderRecord();
            }
        };
    }

    private void applyChange(KeyChange change) {
        if (change.key().equals(TERM_KEY) && change.value() != null && change.revision() >= termRevision) {
            storedTerm = change.value().path("term").asLong();
            termRevision = change.revision();
        } else if (change.key().equals(LEADER_KEY) && change.revision() >= leaderRecordRevision) {
            leaderRecord = change.value() == null ? null : LeaderRecord.fromJson(change.value());
            leaderRecordRevision = leaderRecord == null ? Transaction.NO_REVISION : change.revision();
        }
    }

    private void evaluateCandidacy() {
        if (leading) {
            if (storedTerm > term) {
                LOG.info("term {} was raised to {}", term, storedTerm);
                stepDown();
            }
            return;
        }
        if (leadershipVacant()) {
            scheduleCampaign();
        } else if (leaderRecord.process() == process
                && leaderRecord.term() == storedTerm
                && leaderRecord.term() > term) {
            // A campaign whose answer was lost, or that was applied late, has won.
            becomeLeader(leaderRecord.term(), leaderRecord.leaseId(), eventLoop.nowMs() - timing.leaseMs());
        }
    }

    /** Whether nobody leads, or only a process that is surely dead. */
    private boolean leadershipVacant() {
        if (leaderRecord == null || deadProcesses.contains(leaderRecord.process())) {
            return true;
        }
        // The record is this member's former process's, which is dead since this one runs.
        return leaderRecord.member().equals(member) && leaderRecord.process() != process;
    }

    // ---- campaigning

    private void scheduleCampaign() {
        if (campaigning || eventLoop.nowMs() < backOffUntil) {
            return;
        }
        campaigning = true;
        LOG.debug("standing for term {}, the record names {}", Math.max(storedTerm, highestTerm) + 1, leaderRecord);
        eventLoop.after(eventLoop.random().nextInt(CAMPAIGN_JITTER_MS), this::campaign);
    }

    private void campaign() {
        // Another candidate may have won since this campaign was planned.
        if (leading || !leadershipVacant() || eventLoop.nowMs() < backOffUntil) {
            campaigning = false;
            return;
        }
        long requestedAt = eventLoop.nowMs();
        long candidateTerm = Math.max(storedTerm, highestTerm) + 1;
        long expectedLeaderRevision = leaderRecordRevision;
        long expectedTermRevision = termRevision;
        store.grantLease(timing.leaseMs(), newLeaseId -> {
            if (newLeaseId == null) {
                campaignFailed();
                return;
            }
            Transaction election = new Transaction()
                    .require(LEADER_KEY, expectedLeaderRevision)
                    .require(TERM_KEY, expectedTermRevision)
                    .putWithLease(
                            LEADER_KEY,
                            new LeaderRecord(member, process, candidateTerm, newLeaseId).toJson(),
                            newLeaseId)
                    .put(TERM_KEY, Json.object().put("term", candidateTerm));
            store.commit(election, RequestUrgency.HIGH, outcome -> {
                if (outcome instanceof TransactionOutcome.Committed committed) {
                    campaigning = false;
                    // The follow may have told of the victory first: the hold is in use then.
                    if (!leading && candidateTerm > term) {
                        storedTerm = Math.max(storedTerm, candidateTerm);
                        termRevision = Math.max(termRevision, committed.revision());
                        becomeLeader(candidateTerm, newLeaseId, requestedAt);
                    }
                    return;
                }
                if (!(outcome instanceof TransactionOutcome.Unknown)) {
                    store.revokeLease(newLeaseId);
                }
                campaignFailed();
            });
        });
    }

    private void campaignFailed() {
        eventLoop.after(RETRY_MS, () -> {
            campaigning = false;
            if (!leading) {
                watchLeaderRecord();
            }
        });
    }

    private void becomeLeader(long wonTerm, long wonLeaseId, long confirmedSince) {
        leading = true;
        term = wonTerm;
        leaseId = wonLeaseId;
        leaseConfirmedAt = confirmedSince;
        watermark.resetStoreRead();
        LOG.atInfo()
                .addKeyValue("term", term)
                .addKeyValue("term_revision", termRevision)
                .addKeyValue("process", process)
                .log("leading");
        renewLease();
        listener.elected(term, termRevision);
    }

    // ---- holding

    private void renewLease() {
        if (!leading) {
            return;
        }
        long sentAt = eventLoop.nowMs();
        long renewedTerm = term;
        store.renewLease(leaseId, renewal -> {
            if (!leading || term != renewedTerm) {
                return;
            }
            if (renewal == StoreClient.LeaseRenewal.RENEWED) {
                leaseConfirmedAt = Math.max(leaseConfirmedAt, sentAt);
            } else if (renewal == StoreClient.LeaseRenewal.EXPIRED) {
                LOG.info("the hold of term {} has ended", term);
                stepDown();
                watchLeaderRecord();
            }
        });
    }

    private void stepDown() {
        LOG.atInfo()
                .addKeyValue("term", term)
                .addKeyValue("highest_term", highestTerm)
                .addKeyValue("stored_term", storedTerm)
                .addKeyValue("confirmed", isConfirmed())
                .log("stepping down");
        leading = false;
        highestTerm = Math.max(highestTerm, term);
        store.revokeLease(leaseId);
        listener.leadershipLost();
    }
}
