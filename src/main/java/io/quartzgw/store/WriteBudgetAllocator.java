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

    private final double sharedWritesPerS;
    private final double guaranteedWritesPerS;
    private final int controllerCount;
    private final long grantTtlWithDriftMs;
    private final long electedAtMs;
    private final Map<String, Grantee> grantees = new HashMap<>();

    /** Writes that a controller may make until a moment. */
    private record Grant(double writesPerS, long untilMs) {}

    /** A controller's last demand, and its grants that may be in use. */
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

        /** The most that may be in use: an answer with a later grant may have been lost. */
        double maxGrantedWritesPerS(long nowMs) {
            grants.removeIf(grant -> grant.untilMs() <= nowMs);
            return grants.stream().mapToDouble(Grant::writesPerS).max().orElse(0);
        }
    }

    /**
     * @param limits the state store's limits for all controllers together
     * @param controllerCount how many controllers there are
     * @param grantMs time to live of a grant
     * @param nowMs a moment at which, or after which, this leader was elected
     */
    public WriteBudgetAllocator(StoreLimits limits, int controllerCount, long grantMs, long nowMs) {
        this.sharedWritesPerS = limits.sharedWritesPerS();
        this.guaranteedWritesPerS = limits.perController(controllerCount).writesPerS();
        this.controllerCount = controllerCount;
        this.grantTtlWithDriftMs = (long) Math.ceil(grantMs * DRIFT_FACTOR);
        this.electedAtMs = nowMs;
    }

    /**
     * Records a controller's demand, and grants it as many writes a second as it may have now; empty while grants of a
     * former leader may be in use.
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

    // A controller that demands less than an even part of what is left gets all of it, and leaves the rest to the
    // others.
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
