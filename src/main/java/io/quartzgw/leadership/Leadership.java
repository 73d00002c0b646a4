package io.quartzgw.leadership;

import io.quartzgw.cancellation.CancellationWatermark;
import io.quartzgw.http.Json;
import io.quartzgw.loop.Kernel;
import io.quartzgw.store.Change;
import io.quartzgw.store.Entry;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.Txn;
import io.quartzgw.store.TxnOutcome;
import io.quartzgw.store.Urgency;
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
    public static final String TERM = "lead/term";
    private static final String LEADER = "lead/leader";
    private static final int RENEWALS_PER_HOLD = 4;
    private static final int RETRY_MS = 250;
    /** Spreads the candidates, so that mostly one transaction wins without a conflict. */
    private static final int CAMPAIGN_SPREAD_MS = 60;
    /** Steady clocks drift by 0.05%; a hold is trusted for a little less than its time. */
    private static final double TRUSTED = 0.99;

    /** Told on the owner thread when this node's part changes. */
    public interface Listener {
        void elected(long term, long termRevision);

        void deposed();
    }

    private final Kernel kernel;
    private final StoreClient store;
    private final LeadershipTimes times;
    private final String member;
    private final long process;
    private final CancellationWatermark watermark;
    private Listener listener;

    private boolean observed;
    private long generation;
    private LeaderRecord leader;
    private long leaderRevision;
    private long storedTerm;
    private long termRevision;
    private long highestTerm;
    private boolean campaigning;
    private long abstainUntil = Long.MIN_VALUE;
    private final Set<Long> deadProcesses = new HashSet<>();

    private boolean leading;
    private long term;
    private long hold;
    private long confirmedAt;

    /** @param process number of this process, which no other process of the member has */
    public Leadership(
            Kernel kernel,
            StoreClient store,
            LeadershipTimes times,
            String member,
            long process,
            CancellationWatermark watermark) {
        this.kernel = kernel;
        this.store = store;
        this.times = times;
        this.member = member;
        this.process = process;
        this.watermark = watermark;
    }

    /** Begins to follow the leader record and to stand for election. */
    public void start(Listener told) {
        this.listener = told;
        observe();
        kernel.every(times.holdMs() / RENEWALS_PER_HOLD, this::renew);
    }

    public boolean leading() {
        return leading;
    }

    public long term() {
        return term;
    }

    /** Whether this node surely still holds its term: nobody else can have been elected. */
    public boolean confirmed() {
        return leading && kernel.now() < confirmedAt + (long) (times.holdMs() * TRUSTED);
    }

    /**
     * Whether this node may answer workers, and so renew their leases. An answer has the orders that stop the tasks of
     * every job that this node knows as cancelled; the grace bounds how long ago one may have been cancelled that it
     * doesn't know. That holds from the election on, also while hard state is being read.
     */
    public boolean answering() {
        return leading && kernel.now() < watermark.until(confirmedAt) + times.graceMs();
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
        return leading ? member : leader == null ? null : leader.member();
    }

    public boolean knowsStore() {
        return observed;
    }

    /** Gives the term up to another node, and does not stand again for a while. */
    public void abdicate(long abstainMs) {
        if (leading) {
            abstainUntil = kernel.now() + abstainMs;
            stepDown();
            observe();
            kernel.after(abstainMs, this::decide);
        }
    }

    /** A higher term was seen at a worker or a peer: whoever leads with a lower one is no leader. */
    public void sawTerm(long seen) {
        highestTerm = Math.max(highestTerm, seen);
        if (leading && seen > term) {
            LOG.info("term {} was seen, stepping down from {}", seen, term);
            stepDown();
            observe();
        }
    }

    /** The record of who leads, as far as this node knows; null for none. */
    LeaderRecord record() {
        return leader;
    }

    /**
     * A member answers as this process. If the record, as it was known when the member was asked, names another of its
     * processes, that one is dead; a record that came meanwhile may name a newer one.
     */
    void memberRuns(String other, long itsProcess, LeaderRecord recordAtCall) {
        if (!leading
                && leader != null
                && leader.equals(recordAtCall)
                && leader.member().equals(other)
                && leader.process() != itsProcess) {
            LOG.info("leader {} was restarted, taking over", other);
            deadProcesses.add(leader.process());
            campaignSoon();
        }
    }

    // ---- observing

    private void observe() {
        long mine = ++generation;
        store.list(PREFIX, listing -> {
            if (mine != generation) {
                return;
            }
            if (listing == null) {
                kernel.after(RETRY_MS, () -> {
                    if (mine == generation) {
                        observe();
                    }
                });
                return;
            }
            leader = null;
            leaderRevision = Txn.ABSENT;
            storedTerm = 0;
            termRevision = Txn.ABSENT;
            for (Entry entry : listing.entries()) {
                noted(new Change(entry.key(), entry.value(), entry.revision()));
            }
            observed = true;
            decide();
            store.follow(PREFIX, listing.revision(), listing.at(), follower(mine));
        });
    }

    private StoreClient.Follower follower(long mine) {
        return new StoreClient.Follower() {
            @Override
            public boolean wanted() {
                return mine == generation;
            }

            @Override
            public void changed(List<Change> changes) {
                changes.forEach(Leadership.this::noted);
                decide();
            }

            @Override
            public void outdated() {
                observe();
            }
        };
    }

    private void noted(Change change) {
        if (change.key().equals(TERM) && change.value() != null && change.revision() >= termRevision) {
            storedTerm = change.value().path("term").asLong();
            termRevision = change.revision();
        } else if (change.key().equals(LEADER) && change.revision() >= leaderRevision) {
            leader = change.value() == null ? null : LeaderRecord.fromJson(change.value());
            leaderRevision = leader == null ? Txn.ABSENT : change.revision();
        }
    }

    private void decide() {
        if (leading) {
            if (storedTerm > term) {
                LOG.info("term {} was raised to {}", term, storedTerm);
                stepDown();
            }
            return;
        }
        if (vacant()) {
            campaignSoon();
        } else if (leader.process() == process && leader.term() == storedTerm && leader.term() > term) {
            // A campaign whose answer was lost, or that was applied late, has won.
            lead(leader.term(), leader.hold(), kernel.now() - times.holdMs());
        }
    }

    /** Whether nobody leads, or only a process that is surely dead. */
    private boolean vacant() {
        if (leader == null || deadProcesses.contains(leader.process())) {
            return true;
        }
        // The record is this member's former process's, which is dead since this one runs.
        return leader.member().equals(member) && leader.process() != process;
    }

    // ---- campaigning

    private void campaignSoon() {
        if (campaigning || kernel.now() < abstainUntil) {
            return;
        }
        campaigning = true;
        LOG.debug("standing for term {}, the record names {}", Math.max(storedTerm, highestTerm) + 1, leader);
        kernel.after(kernel.random().nextInt(CAMPAIGN_SPREAD_MS), this::campaign);
    }

    private void campaign() {
        // Another candidate may have won since this campaign was planned.
        if (leading || !vacant() || kernel.now() < abstainUntil) {
            campaigning = false;
            return;
        }
        long asked = kernel.now();
        long aim = Math.max(storedTerm, highestTerm) + 1;
        long seenLeader = leaderRevision;
        long seenTerm = termRevision;
        store.grantHold(times.holdMs(), granted -> {
            if (granted == null) {
                campaignEnded();
                return;
            }
            Txn txn = new Txn()
                    .guard(LEADER, seenLeader)
                    .guard(TERM, seenTerm)
                    .putHeld(LEADER, new LeaderRecord(member, process, aim, granted).toJson(), granted)
                    .put(TERM, Json.object().put("term", aim));
            store.commit(txn, Urgency.FIRST, outcome -> {
                if (outcome instanceof TxnOutcome.Committed committed) {
                    campaigning = false;
                    // The follow may have told of the victory first: the hold is in use then.
                    if (!leading && aim > term) {
                        storedTerm = Math.max(storedTerm, aim);
                        termRevision = Math.max(termRevision, committed.revision());
                        lead(aim, granted, asked);
                    }
                    return;
                }
                if (!(outcome instanceof TxnOutcome.Unknown)) {
                    store.dropHold(granted);
                }
                campaignEnded();
            });
        });
    }

    private void campaignEnded() {
        kernel.after(RETRY_MS, () -> {
            campaigning = false;
            if (!leading) {
                observe();
            }
        });
    }

    private void lead(long won, long withHold, long since) {
        leading = true;
        term = won;
        hold = withHold;
        confirmedAt = since;
        watermark.nothingRead();
        LOG.atInfo()
                .addKeyValue("term", term)
                .addKeyValue("term_revision", termRevision)
                .addKeyValue("process", process)
                .log("leading");
        renew();
        listener.elected(term, termRevision);
    }

    // ---- holding

    private void renew() {
        if (!leading) {
            return;
        }
        long sent = kernel.now();
        long renewed = term;
        store.extendHold(hold, extension -> {
            if (!leading || term != renewed) {
                return;
            }
            if (extension == StoreClient.Extension.EXTENDED) {
                confirmedAt = Math.max(confirmedAt, sent);
            } else if (extension == StoreClient.Extension.ENDED) {
                LOG.info("the hold of term {} has ended", term);
                stepDown();
                observe();
            }
        });
    }

    private void stepDown() {
        LOG.atInfo()
                .addKeyValue("term", term)
                .addKeyValue("highest_term", highestTerm)
                .addKeyValue("stored_term", storedTerm)
                .addKeyValue("confirmed", confirmed())
                .log("stepping down");
        leading = false;
        highestTerm = Math.max(highestTerm, term);
        store.dropHold(hold);
        listener.deposed();
    }
}
