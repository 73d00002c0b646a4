package io.quartzgw.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Allocates the shared part of the state service's write budget; used by the leader. Controllers are granted the writes
 * that they demand beyond their guaranteed shares, as long as the sum of all grants stays within the shared part.
 *
 * <p>Grants expire. The grantee counts the time to live from its request, the allocator from its response. So a grant
 * always expires at the grantee first, even if responses are lost or delayed. A new leader grants nothing for one time
 * to live after its election, until all grants of the previous leader have expired.
 */
public final class WriteBudgetAllocator {
    /** Clocks may drift by 0.05%, so the allocator counts a grant for slightly longer than its time to live. */
    private static final double DRIFT_FACTOR = 1.01;
    /**
     * The fraction of the budget that exceeds all demands which is granted evenly anyway; the rest is kept for new
     * demand.
     */
    private static final double SPARE_FRACTION = 0.5;

    private final double sharedWritesPerS;
    private final double guaranteedWritesPerS;
    private final int controllerCount;
    private final long grantTtlWithDriftMs;
    private final long electedAtMs;
    private final Map<String, Grantee> grantees = new HashMap<>();

    /** A write rate granted to a controller until the given time. */
    private record Grant(double writesPerS, long untilMs) {}

    /** A controller's latest demand and its grants that may still be in use. */
    private static final class Grantee {
        private final List<Grant> grants = new ArrayList<>();
        private double demandWritesPerS;
        private long requestedAtMs;

        void recordDemand(double demand, long nowMs) {
            demandWritesPerS = demand;
            requestedAtMs = nowMs;
        }

        void addGrant(Grant grant) {
            grants.add(grant);
        }

        /** The highest of the unexpired grants, since the response with the latest one may have been lost. */
        double maxGrantedWritesPerS(long nowMs) {
            grants.removeIf(grant -> grant.untilMs() <= nowMs);
            return grants.stream().mapToDouble(Grant::writesPerS).max().orElse(0);
        }
    }

    /**
     * @param limits the state service's limits for all controllers together
     * @param controllerCount number of controllers in the cluster
     * @param grantMs time to live of a grant
     * @param nowMs a time at or after this leader's election
     */
    public WriteBudgetAllocator(StoreLimits limits, int controllerCount, long grantMs, long nowMs) {
        this.sharedWritesPerS = limits.sharedWritesPerS();
        this.guaranteedWritesPerS = limits.perController(controllerCount).writesPerS();
        this.controllerCount = controllerCount;
        this.grantTtlWithDriftMs = (long) Math.ceil(grantMs * DRIFT_FACTOR);
        this.electedAtMs = nowMs;
    }

    /**
     * Records a controller's demand and returns the granted writes per second beyond its guaranteed share. Returns an
     * empty result while grants of the previous leader may still be in use.
     */
    public Optional<Double> grant(String controller, double demandWritesPerS, long nowMs) {
        Grantee grantee = grantees.computeIfAbsent(controller, name -> new Grantee());
        grantee.recordDemand(Math.max(0, demandWritesPerS - guaranteedWritesPerS), nowMs);
        if (nowMs - electedAtMs < grantTtlWithDriftMs) {
            return Optional.empty();
        }
        double writesPerS =
                Math.max(0, Math.min(availableWritesPerS(grantee, nowMs), fairShareWritesPerS(grantee, nowMs)));
        grantee.addGrant(new Grant(writesPerS, nowMs + grantTtlWithDriftMs));
        return Optional.of(writesPerS);
    }

    private double availableWritesPerS(Grantee grantee, long nowMs) {
        double availableWritesPerS = sharedWritesPerS;
        for (Grantee other : grantees.values()) {
            availableWritesPerS -= other == grantee ? 0 : other.maxGrantedWritesPerS(nowMs);
        }
        return availableWritesPerS;
    }

    // Max-min fair allocation in ascending order of demand: a demand below an even share of the remaining budget is
    // satisfied in full, and the rest of that share remains for the others.
    private double fairShareWritesPerS(Grantee grantee, long nowMs) {
        List<Double> demands = grantees.values().stream()
                .filter(other -> nowMs - other.requestedAtMs < grantTtlWithDriftMs)
                .map(other -> other.demandWritesPerS)
                .sorted()
                .toList();
        double remainingWritesPerS = sharedWritesPerS;
        for (int i = 0; i < demands.size(); i++) {
            double evenShareWritesPerS = remainingWritesPerS / (demands.size() - i);
            if (demands.get(i) > evenShareWritesPerS) {
                return Math.min(grantee.demandWritesPerS, evenShareWritesPerS);
            }
            remainingWritesPerS -= demands.get(i);
        }
        return grantee.demandWritesPerS + remainingWritesPerS * SPARE_FRACTION / controllerCount;
    }
}
