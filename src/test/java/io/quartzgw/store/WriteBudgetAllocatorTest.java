package io.quartzgw.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Checks that all controllers together stay within the write limit when responses are lost or delayed and leaders
 * change.
 */
class WriteBudgetAllocatorTest {
    private static final int CONTROLLERS = 5;
    private static final long GRANT_MS = 2_000;
    private static final long HEARTBEAT_MS = 800;
    private static final long STEP_MS = 50;
    private static final StoreLimits LIMITS = new StoreLimits(100, 15, 4096, 12);
    /** Controllers use nine tenths of the state service's limit ({@link StoreLimits}). */
    private static final double MAX_PER_S = 0.9 * LIMITS.writesPerS();

    private static final double EPSILON = 1e-9;

    private final SplittableRandom random = new SplittableRandom(3);

    /** A controller that is granted writes; responses may reach it late. */
    private static final class SimulatedController {
        private final String name;
        private double demandWritesPerS;
        private double grantedWritesPerS;
        private long grantedUntilMs;

        SimulatedController(int number) {
            this.name = "rig-" + number;
        }

        void applyGrant(double writesPerS, long requestedAtMs) {
            grantedWritesPerS = writesPerS;
            grantedUntilMs = requestedAtMs + GRANT_MS;
        }

        double writesPerS(long nowMs) {
            return LIMITS.perController(CONTROLLERS).writesPerS() + (nowMs < grantedUntilMs ? grantedWritesPerS : 0);
        }
    }

    private record DelayedResponse(
            SimulatedController controller, double grantedWritesPerS, long requestedAtMs, long arrivesAtMs) {}

    private static List<SimulatedController> createControllers() {
        List<SimulatedController> controllers = new ArrayList<>();
        for (int i = 0; i < CONTROLLERS; i++) {
            controllers.add(new SimulatedController(i));
        }
        return controllers;
    }

    private static double totalWritesPerS(List<SimulatedController> controllers, long nowMs) {
        return controllers.stream()
                .mapToDouble(controller -> controller.writesPerS(nowMs))
                .sum();
    }

    /** Randomly changes a controller's demand and sends its request. The response may be lost or delayed. */
    private void step(
            WriteBudgetAllocator allocator,
            SimulatedController controller,
            List<DelayedResponse> responses,
            long nowMs) {
        if (random.nextInt(40) == 0) {
            controller.demandWritesPerS = random.nextInt(3) == 0 ? random.nextInt(30) : 0;
        }
        if (random.nextInt((int) (HEARTBEAT_MS / STEP_MS)) != 0) {
            return;
        }
        long requestedAtMs = nowMs - random.nextInt(500);
        Optional<Double> granted = allocator.grant(controller.name, controller.demandWritesPerS, nowMs);
        if (granted.isPresent() && random.nextInt(5) > 0) {
            responses.add(new DelayedResponse(controller, granted.get(), requestedAtMs, nowMs + random.nextInt(3_000)));
        }
    }

    private static void deliverDueResponses(List<DelayedResponse> responses, long nowMs) {
        for (DelayedResponse response : List.copyOf(responses)) {
            if (response.arrivesAtMs() <= nowMs) {
                responses.remove(response);
                response.controller().applyGrant(response.grantedWritesPerS(), response.requestedAtMs());
            }
        }
    }

    // Guards against exceeding the shared limit after lost or delayed responses, after a pause of the leader between
    // request and response, and after leader changes in quick succession.
    @Test
    void keepsTotalWithinLimitDespiteDelaysAndLeaderChanges() {
        List<SimulatedController> controllers = createControllers();
        List<DelayedResponse> responses = new ArrayList<>();
        WriteBudgetAllocator allocator = new WriteBudgetAllocator(LIMITS, CONTROLLERS, GRANT_MS, 0);
        double maxTotalPerS = 0;
        for (long nowMs = 0; nowMs < 2_000_000; nowMs += STEP_MS) {
            if (random.nextInt(100) == 0) {
                allocator = new WriteBudgetAllocator(LIMITS, CONTROLLERS, GRANT_MS, nowMs);
            }
            for (SimulatedController controller : controllers) {
                step(allocator, controller, responses, nowMs);
            }
            deliverDueResponses(responses, nowMs);
            double total = totalWritesPerS(controllers, nowMs);
            assertTrue(total <= MAX_PER_S + EPSILON, "total write rate at " + nowMs + " ms: " + total);
            maxTotalPerS = Math.max(maxTotalPerS, total);
        }
        assertTrue(maxTotalPerS > 0.95 * MAX_PER_S, "the limit is nearly reached: " + maxTotalPerS);
    }

    private static void exchangeGrantsUntilStable(
            WriteBudgetAllocator allocator, List<SimulatedController> controllers) {
        for (long nowMs = 0; nowMs <= 5 * GRANT_MS; nowMs += HEARTBEAT_MS) {
            for (SimulatedController controller : controllers) {
                controller.applyGrant(
                        allocator
                                .grant(controller.name, controller.demandWritesPerS, nowMs)
                                .orElse(0.0),
                        nowMs);
            }
        }
    }

    // Guards against unused write budget: a leader that starts and ends many tasks needs the budget that other
    // controllers leave unused, and vice versa.
    @Test
    void grantsUnusedBudgetToControllersWithDemand() {
        List<SimulatedController> controllers = createControllers();
        controllers.get(2).demandWritesPerS = 50;
        exchangeGrantsUntilStable(new WriteBudgetAllocator(LIMITS, CONTROLLERS, GRANT_MS, 0), controllers);
        assertEquals(
                LIMITS.sharedWritesPerS(),
                controllers.get(2).grantedWritesPerS,
                EPSILON,
                "one controller with demand gets the whole shared part");
        controllers.get(4).demandWritesPerS = 50;
        exchangeGrantsUntilStable(new WriteBudgetAllocator(LIMITS, CONTROLLERS, GRANT_MS, 0), controllers);
        assertEquals(
                controllers.get(2).grantedWritesPerS,
                controllers.get(4).grantedWritesPerS,
                EPSILON,
                "two controllers with demand share evenly");
        assertEquals(
                LIMITS.sharedWritesPerS(),
                controllers.get(2).grantedWritesPerS + controllers.get(4).grantedWritesPerS,
                EPSILON);
    }

    // Checks TokenBucket, which adds a grant to the base rate until the grant expires.
    @Test
    void dropsUnusedTokensWhenGrantExpires() {
        TokenBucket budget = new TokenBucket(2, 0);
        budget.grant(8, 1_000, 0);
        assertEquals(0, budget.waitMsFor(10, 999), "the bucket holds one second of both rates");
        assertEquals(0, budget.waitMsFor(2, 1_000));
        budget.take(2, 1_000);
        assertEquals(500, budget.waitMsFor(1, 1_000), "tokens beyond the base rate are dropped");
    }
}
