package io.quartzgw.simulation;

import java.util.stream.LongStream;

/** Ranges of seeds for random tests: fixed ones in the build, others by system properties. */
public final class SeedRanges {
    private SeedRanges() {}

    /**
     * A range of seeds; {@code -Dquartzgw.NAME.first=1000 -Dquartzgw.NAME.count=500} tries others by hand.
     *
     * @param name what the properties are named by
     */
    public static LongStream range(String name, long first, int count) {
        long from = Long.getLong("quartzgw." + name + ".first", first);
        return LongStream.range(from, from + Integer.getInteger("quartzgw." + name + ".count", count));
    }
}
