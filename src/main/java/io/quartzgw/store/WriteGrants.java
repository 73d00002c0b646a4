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
public final class WriteGrants {
    /** Clocks drift by 0.05%: a loan is counted for a little longer than its life. */
    private static final double COUNTED = 1.01;
    /** The part of what nobody needs that is lent all the same, evenly; the rest waits for the next that needs it. */
    private static final double SPREAD = 0.5;

    private final double lentPerS;
    private final double ownPerS;
    private final int members;
    private final long countedMs;
    private final long since;
    private final Map<String, Borrower> borrowers = new HashMap<>();

    private record Loan(double perS, long until) {}

    private static final class Borrower {
        private double neededPerS;
        private long askedAt;
        private final List<Loan> loans = new ArrayList<>();

        /** The most that this node may have borrowed: an answer with a later loan may have been lost. */
        double lentPerS(long now) {
            loans.removeIf(loan -> loan.until <= now);
            return loans.stream().mapToDouble(Loan::perS).max().orElse(0);
        }
    }

    /**
     * @param limits of the state service
     * @param members how many controllers there are
     * @param lifeMs how long a loan lasts
     * @param now a moment at which, or after which, this leader was elected
     */
    public WriteGrants(StoreLimits limits, int members, long lifeMs, long now) {
        this.lentPerS = limits.lentWritesPerS();
        this.ownPerS = limits.share(members).writesPerS();
        this.members = members;
        this.countedMs = (long) Math.ceil(lifeMs * COUNTED);
        this.since = now;
    }

    /** Whether the loans of a former leader are over, so that this one may lend. */
    public boolean lends(long now) {
        return now - since >= countedMs;
    }

    /**
     * Lends a node as much as it may have now, in changes a second; until this leader lends, what is wanted is noted.
     */
    public double lend(String member, double wantedPerS, long now) {
        Borrower borrower = borrowers.computeIfAbsent(member, name -> new Borrower());
        borrower.neededPerS = Math.max(0, wantedPerS - ownPerS);
        borrower.askedAt = now;
        if (!lends(now)) {
            return 0;
        }
        double free = lentPerS;
        for (Borrower other : borrowers.values()) {
            free -= other == borrower ? 0 : other.lentPerS(now);
        }
        double perS = Math.max(0, Math.min(free, target(borrower, now)));
        borrower.loans.add(new Loan(perS, now + countedMs));
        return perS;
    }

    // Who needs less than an even part of what is there gets all that it needs, and leaves the rest to the others.
    private double target(Borrower borrower, long now) {
        List<Double> needs = borrowers.values().stream()
                .filter(some -> now - some.askedAt < countedMs)
                .map(some -> some.neededPerS)
                .sorted()
                .toList();
        double left = lentPerS;
        for (int i = 0; i < needs.size(); i++) {
            double even = left / (needs.size() - i);
            if (needs.get(i) > even) {
                return Math.min(borrower.neededPerS, even);
            }
            left -= needs.get(i);
        }
        return borrower.neededPerS + left * SPREAD / members;
    }
}
