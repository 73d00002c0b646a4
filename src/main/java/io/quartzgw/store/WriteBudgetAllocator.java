package io.quartzgw.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A leader's allocation of the state store's shared write budget: beyond their own shares, controllers are granted what
 * they demand, as far as all grants together stay within the shared part.
 *
 * <p>A grant expires. The grantee counts its time to live from when it asked, the allocator from when it answered: so
 * the allocator never takes a grant for expired that is still in use, whichever answers were lost or came late. A
 * leader grants nothing for one time to live after its election: then the grants of its predecessor have expired.
 */
public final class WriteBudgetAllocator {
    /** Clocks drift by 0.05%: a grant is counted for a little longer than its time to live. */
    private static final double DRIFT_FACTOR = 1.01;
    /** The fraction of what nobody demands that is granted evenly all the same; the rest waits for new demand. */
    private static final double SPARE_FRACTION = 0.5;

    private final double sharedPerS;
    private final double ownPerS;
    private final int members;
    private final long countedGrantMs;
    private final long electedAtMs;
    private final Map<String, Grantee> grantees = new HashMap<>();

    /** Writes that a controller may make until a moment. */
    private record Grant(double writesPerS, long untilMs) {}

    /** A controller's last demand, and its grants that may be in use. */
    private static final class Grantee {
        private final List<Grant> grants = new ArrayList<>();
        private double demandPerS;
        private long askedAtMs;

        void demand(double writesPerS, long nowMs) {
            demandPerS = writesPerS;
            askedAtMs = nowMs;
        }

        void add(Grant grant) {
            grants.add(grant);
        }

        /** The most that may be in use: an answer with a later grant may have been lost. */
        double grantedPerS(long nowMs) {
            grants.removeIf(grant -> grant.untilMs() <= nowMs);
            return grants.stream().mapToDouble(Grant::writesPerS).max().orElse(0);
        }
    }

    /**
     * @param limits the state store's limits for all controllers together
     * @param members how many controllers there are
     * @param grantMs time to live of a grant
     * @param nowMs a moment at which, or after which, this leader was elected
     */
    public WriteBudgetAllocator(StoreLimits limits, int members, long grantMs, long nowMs) {
        this.sharedPerS = limits.sharedWritesPerS();
        this.ownPerS = limits.perController(members).writesPerS();
        this.members = members;
        this.countedGrantMs = (long) Math.ceil(grantMs * DRIFT_FACTOR);
        this.electedAtMs = nowMs;
    }

    /**
     * Records a controller's demand, and grants it as many writes a second as it may have now; empty while grants of a
     * former leader may be in use.
     */
    public Optional<Double> grant(String member, double wantedPerS, long nowMs) {
        Grantee grantee = grantees.computeIfAbsent(member, name -> new Grantee());
        grantee.demand(Math.max(0, wantedPerS - ownPerS), nowMs);
        if (nowMs - electedAtMs < countedGrantMs) {
            return Optional.empty();
        }
        double writesPerS = Math.max(0, Math.min(freePerSFor(grantee, nowMs), fairSharePerS(grantee, nowMs)));
        grantee.add(new Grant(writesPerS, nowMs + countedGrantMs));
        return Optional.of(writesPerS);
    }

    private double freePerSFor(Grantee grantee, long nowMs) {
        double freePerS = sharedPerS;
        for (Grantee other : grantees.values()) {
            freePerS -= other == grantee ? 0 : other.grantedPerS(nowMs);
        }
        return freePerS;
    }

    // A controller that demands less than an even part of what is left gets all of it, and leaves the rest to the
    // others.
    private double fairSharePerS(Grantee grantee, long nowMs) {
        List<Double> demands = grantees.values().stream()
                .filter(other -> nowMs - other.askedAtMs < countedGrantMs)
                .map(other -> other.demandPerS)
                .sorted()
                .toList();
        double leftPerS = sharedPerS;
        for (int i = 0; i < demands.size(); i++) {
            double evenPerS = leftPerS / (demands.size() - i);
            if (demands.get(i) > evenPerS) {
                return Math.min(grantee.demandPerS, evenPerS);
            }
            leftPerS -= demands.get(i);
        }
        return grantee.demandPerS + leftPerS * SPARE_FRACTION / members;
    }
}
