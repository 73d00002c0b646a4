package io.quartzgw.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What a leader has granted of the state service's changes: beyond their own shares, nodes get what they ask for, as
 * far as all that is granted stays within what there is to grant.
 *
 * <p>A grant ends at its time, counted by the grantee from when it asked. The allocator counts it from when it
 * answered, so it never takes for free what is still granted, whichever answers were lost or came late. A leader grants
 * nothing for one life of a grant after its election: what its predecessor has granted is over then.
 */
public final class WriteBudgetAllocator {
    /** Clocks drift by 0.05%: a grant is counted for a little longer than its life. */
    private static final double DRIFT_FACTOR = 1.01;
    /**
     * The part of what nobody needs that is granted all the same, evenly; the rest waits for the next that needs it.
     */
    private static final double SPARE_FRACTION = 0.5;

    private final double sharedPerS;
    private final double ownPerS;
    private final int members;
    private final long grantMs;
    private final long electedAt;
    private final Map<String, Grantee> grantees = new HashMap<>();

    private record Grant(double writesPerS, long until) {}

    private static final class Grantee {
        private double demandPerS;
        private long askedAt;
        private final List<Grant> grants = new ArrayList<>();

        /** The most that this node may have been granted: an answer with a later grant may have been lost. */
        double grantedPerS(long now) {
            grants.removeIf(grant -> grant.until <= now);
            return grants.stream().mapToDouble(Grant::writesPerS).max().orElse(0);
        }
    }

    /**
     * @param limits of the state service
     * @param members how many controllers there are
     * @param lifeMs how long a grant lasts
     * @param now a moment at which, or after which, this leader was elected
     */
    public WriteBudgetAllocator(StoreLimits limits, int members, long lifeMs, long now) {
        this.sharedPerS = limits.sharedWritesPerS();
        this.ownPerS = limits.perNode(members).writesPerS();
        this.members = members;
        this.grantMs = (long) Math.ceil(lifeMs * DRIFT_FACTOR);
        this.electedAt = now;
    }

    /** Whether the loans of a former leader are over, so that this one may lend. */
    public boolean canGrant(long now) {
        return now - electedAt >= grantMs;
    }

    /**
     * Grants a node as much as it may have now, in changes a second; until this leader lends, what is wanted is noted.
     */
    public double grant(String member, double wantedPerS, long now) {
        Grantee grantee = grantees.computeIfAbsent(member, name -> new Grantee());
        grantee.demandPerS = Math.max(0, wantedPerS - ownPerS);
        grantee.askedAt = now;
        if (!canGrant(now)) {
            return 0;
        }
        double free = sharedPerS;
        for (Grantee other : grantees.values()) {
            free -= other == grantee ? 0 : other.grantedPerS(now);
        }
        double perS = Math.max(0, Math.min(free, fairShare(grantee, now)));
        grantee.grants.add(new Grant(perS, now + grantMs));
        return perS;
    }

    // Who needs less than an even part of what is there gets all that it needs, and leaves the rest to the others.
    private double fairShare(Grantee grantee, long now) {
        List<Double> needs = grantees.values().stream()
                .filter(some -> now - some.askedAt < grantMs)
                .map(some -> some.demandPerS)
                .sorted()
                .toList();
        double left = sharedPerS;
        for (int i = 0; i < needs.size(); i++) {
            double even = left / (needs.size() - i);
            if (needs.get(i) > even) {
                return Math.min(grantee.demandPerS, even);
            }
            left -= needs.get(i);
        }
        return grantee.demandPerS + left * SPARE_FRACTION / members;
    }
}
