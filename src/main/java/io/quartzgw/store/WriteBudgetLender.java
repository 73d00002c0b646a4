package io.quartzgw.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What a leader has lent of the state service's changes: beyond their own shares, nodes get what they ask for, as far
 * as all that is lent stays within what there is to lend.
 *
 * <p>A loan ends at its time, counted by the borrower from when it asked. The lender counts it from when it answered,
 * so it never takes for free what is still lent, whichever answers were lost or came late. A leader lends nothing for
 * one life of a loan after its election: what its predecessor has lent is over then.
 */
public final class WriteBudgetLender {
    /** Clocks drift by 0.05%: a loan is counted for a little longer than its life. */
    private static final double DRIFT_FACTOR = 1.01;
    /** The part of what nobody needs that is lent all the same, evenly; the rest waits for the next that needs it. */
    private static final double SPARE_FRACTION = 0.5;

    private final double sharedPerS;
    private final double ownPerS;
    private final int members;
    private final long grantMs;
    private final long electedAt;
    private final Map<String, Borrower> borrowers = new HashMap<>();

    private record Grant(double writesPerS, long until) {}

    private static final class Borrower {
        private double demandPerS;
        private long askedAt;
        private final List<Grant> grants = new ArrayList<>();

        /** The most that this node may have borrowed: an answer with a later loan may have been lost. */
        double grantedPerS(long now) {
            grants.removeIf(loan -> loan.until <= now);
            return grants.stream().mapToDouble(Grant::writesPerS).max().orElse(0);
        }
    }

    /**
     * @param limits of the state service
     * @param members how many controllers there are
     * @param lifeMs how long a loan lasts
     * @param now a moment at which, or after which, this leader was elected
     */
    public WriteBudgetLender(StoreLimits limits, int members, long lifeMs, long now) {
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
     * Lends a node as much as it may have now, in changes a second; until this leader lends, what is wanted is noted.
     */
    public double grant(String member, double wantedPerS, long now) {
        Borrower borrower = borrowers.computeIfAbsent(member, name -> new Borrower());
        borrower.demandPerS = Math.max(0, wantedPerS - ownPerS);
        borrower.askedAt = now;
        if (!canGrant(now)) {
            return 0;
        }
        double free = sharedPerS;
        for (Borrower other : borrowers.values()) {
            free -= other == borrower ? 0 : other.grantedPerS(now);
        }
        double perS = Math.max(0, Math.min(free, fairShare(borrower, now)));
        borrower.grants.add(new Grant(perS, now + grantMs));
        return perS;
    }

    // Who needs less than an even part of what is there gets all that it needs, and leaves the rest to the others.
    private double fairShare(Borrower borrower, long now) {
        List<Double> needs = borrowers.values().stream()
                .filter(some -> now - some.askedAt < grantMs)
                .map(some -> some.demandPerS)
                .sorted()
                .toList();
        double left = sharedPerS;
        for (int i = 0; i < needs.size(); i++) {
            double even = left / (needs.size() - i);
            if (needs.get(i) > even) {
                return Math.min(borrower.demandPerS, even);
            }
            left -= needs.get(i);
        }
        return borrower.demandPerS + left * SPARE_FRACTION / members;
    }
}
