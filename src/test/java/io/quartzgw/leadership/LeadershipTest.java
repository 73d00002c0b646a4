package io.quartzgw.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quartzgw.cancellation.CancellationWatermark;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Endpoint;
import io.quartzgw.simulation.LossyLink;
import io.quartzgw.simulation.SimulatedStore;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.StoreLimits;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the elections of one controller without peers, with a simulated state service. */
class LeadershipTest {
    private static final LeadershipTiming TIMING = LeadershipTiming.of(2.5, 16, 36);
    private static final StoreLimits LIMITS = new StoreLimits(100_000, 100_000, 8192, 16);
    private static final int STEP_MS = 50;

    private final EventLoop eventLoop = new EventLoop(1);
    private final SimulatedStore storeServer = new SimulatedStore();
    private final LossyLink link = new LossyLink(eventLoop, storeServer, new SplittableRandom(1));
    private final StoreClient store = new StoreClient(eventLoop, new Endpoint("10.2.0.1", 1), LIMITS);
    private final Leadership leadership = new Leadership(
            eventLoop,
            store,
            TIMING,
            new ControllerIdentity("rig-0", 1),
            new CancellationWatermark(eventLoop, 36_000, List.of()));
    private final List<String> events = new ArrayList<>();

    @BeforeEach
    void electController() {
        leadership.start(new Leadership.Listener() {
            @Override
            public void elected(long term, long termRevision) {
                events.add("elected " + term);
            }

            @Override
            public void leadershipLost() {
                events.add("lost");
            }
        });
        advance(1_000);
    }

    private void advance(long durationMs) {
        for (long elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
            link.advance(STEP_MS, false);
        }
    }

    @Test
    void acquiresVacantLeadership() {
        assertEquals(List.of("elected 4096"), events);
        assertTrue(leadership.isLeading() && leadership.isConfirmed());
        assertEquals(Optional.of("rig-0"), leadership.leader());
        assertEquals(4096, leadership.term());
    }

    @Test
    void staysConfirmedWhileLeaseIsRenewed() {
        advance(3 * TIMING.leaseMs());
        assertEquals(List.of("elected 4096"), events);
        assertTrue(leadership.isConfirmed());
    }

    @Test
    void losesConfirmationButKeepsTermDuringStoreOutage() {
        storeServer.setOutage(true);
        advance(TIMING.leaseMs() + STEP_MS);
        assertTrue(leadership.isLeading());
        assertFalse(leadership.isConfirmed());
        storeServer.setOutage(false);
        advance(TIMING.leaseMs());
        assertTrue(leadership.isConfirmed());
        assertEquals(List.of("elected 4096"), events);
    }

    @Test
    void stepsDownOnHigherTermAndTakesTermAboveIt() {
        leadership.observeTerm(4097);
        assertFalse(leadership.isLeading());
        assertEquals(4097, leadership.highestTerm());
        advance(1_000);
        assertEquals(List.of("elected 4096", "lost", "elected 8193"), events);
    }

    @Test
    void ignoresObservedTermThatIsNotHigher() {
        leadership.observeTerm(4096);
        advance(1_000);
        assertEquals(List.of("elected 4096"), events);
    }

    @Test
    void isNotReelectedDuringBackOffAfterResigning() {
        leadership.resign(10_000);
        advance(9_900);
        assertEquals(List.of("elected 4096", "lost"), events);
        advance(1_000);
        assertEquals(List.of("elected 4096", "lost", "elected 8192"), events);
    }
}
