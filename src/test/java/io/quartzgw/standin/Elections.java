package io.quartzgw.standin;

import io.quartzgw.leadership.Leadership;
import java.util.function.LongConsumer;

/** Elects a node that stands alone, for tests of what only a leader does. */
public final class Elections {
    private static final int STEP_MS = 50;

    private Elections() {}

    /** Lets time pass until the node leads. */
    public static void elect(Leadership leadership, LongConsumer pass) {
        leadership.start(new Leadership.Listener() {
            @Override
            public void elected(long term, long termRevision) {}

            @Override
            public void deposed() {}
        });
        while (!leadership.leading()) {
            pass.accept(STEP_MS);
        }
    }
}
