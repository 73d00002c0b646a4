package io.quartzgw.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quartzgw.http.Call;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Reply;
import io.quartzgw.loop.Effect;
import io.quartzgw.loop.Kernel;
import io.quartzgw.loop.Time;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What goes out when the budget is short, and that the nodes' shares never exceed the limits together. */
class CallQueueTest {
    private static final Endpoint SERVICE = new Endpoint("10.2.0.1", 1);
    private static final StoreLimits LIMITS = new StoreLimits(150, 60, 8192, 16);
    private static final StoreLimits TEN_AND_TWO = new StoreLimits(10, 2, 8192, 16);

    private final Kernel kernel = new Kernel(1);
    private final List<String> sent = new ArrayList<>();
    private final List<Reply> refused = new ArrayList<>();
    private long now;

    /** Lets time pass in steps of a millisecond, so that every timer fires when it is due. */
    private void pass(long ms) {
        for (long end = now + ms; now < end; now++) {
            List<Effect> effects = kernel.handle(List.of(), new Time(now, now));
            effects.forEach(effect -> sent.add(((Effect.Send) effect).request().path()));
        }
    }

    private void submit(CallQueue queue, String path, int writes, Urgency urgency) {
        queue.submit(Call.get(SERVICE, path, 1_000), writes, urgency, refused::add);
    }

    @Test
    void sharesOfAllNodesStayWithinTheLimitsAndTheLeaderHasTheLargest() {
        for (int nodes = 1; nodes <= 9; nodes++) {
            StoreLimits follower = LIMITS.followerShare(nodes);
            StoreLimits leader = LIMITS.leaderShare(nodes);
            double writes = leader.writesPerS() + (nodes - 1) * follower.writesPerS();
            double requests = leader.requestsPerS() + (nodes - 1) * follower.requestsPerS();
            assertTrue(writes < LIMITS.writesPerS() && requests < LIMITS.requestsPerS(), nodes + " nodes");
            assertTrue(writes > 0.85 * LIMITS.writesPerS() && requests > 0.85 * LIMITS.requestsPerS());
            assertTrue(leader.writesPerS() > follower.writesPerS());
        }
    }

    // Guards reads against writes: users' questions were refused while only the budget of writes was short.
    @Test
    void aReadDoesNotWaitBehindAWriteThatLacksBudget() {
        CallQueue queue = new CallQueue(kernel, TEN_AND_TWO, reply -> {});
        for (int i = 0; i < 4; i++) {
            submit(queue, "/write" + i, 1, Urgency.NORMAL);
        }
        submit(queue, "/read", 0, Urgency.NORMAL);
        pass(1);
        assertEquals(List.of("/write0", "/write1", "/read"), sent);
    }

    @Test
    void urgentWritesGoBeforeOthersAndWhatWaitsTooLongIsRefused() {
        CallQueue queue = new CallQueue(kernel, TEN_AND_TWO, reply -> {});
        submit(queue, "/first", 2, Urgency.NORMAL);
        submit(queue, "/normal", 2, Urgency.NORMAL);
        submit(queue, "/urgent", 2, Urgency.FIRST);
        pass(1_100);
        assertEquals(List.of("/first", "/urgent"), sent);
        pass(100);
        assertEquals(1, refused.size());
        assertEquals(429, refused.get(0).status());
    }

    // Guards the limits through a change of leaders: what a leader has saved up goes with its larger share.
    @Test
    void theLargerShareIsUsedOnlyWhileTheNodeIsEntitled() {
        boolean[] leads = {true};
        CallQueue queue = new CallQueue(kernel, TEN_AND_TWO, reply -> {});
        queue.largerShare(new StoreLimits(30, 20, 8192, 16), () -> leads[0]);
        submit(queue, "/prime", 0, Urgency.NORMAL);
        pass(1_000);
        sent.clear();
        for (int i = 0; i < 15; i++) {
            submit(queue, "/leading", 1, Urgency.NORMAL);
        }
        pass(1);
        assertEquals(15, sent.size());
        pass(2_000);
        leads[0] = false;
        sent.clear();
        for (int i = 0; i < 15; i++) {
            submit(queue, "/following", 1, Urgency.NORMAL);
        }
        pass(1);
        assertEquals(2, sent.size());
    }
}
