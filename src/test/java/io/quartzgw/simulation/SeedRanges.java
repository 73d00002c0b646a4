package io.quartzgw.simulation;

import java.util.stream.LongStream;

/** Ranges of seeds for random tests: fixed in the build, and overridden by system properties. */
public final class SeedRanges {
    private SeedRanges() {}

    /**
     * A range of {@code count} seeds from {@code first}. To run other seeds manually, set the properties
     * {@code -Dquartzgw.NAME.first=1000 -Dquartzgw.NAME.count=500}.
     *
     * @param name the NAME in the names of the properties
     */
    public static LongStream range(String name, long first, int count) {
        long start = Long.getLong("quartzgw." + name + ".first", first);
        return LongStream.range(start, start + Integer.getInteger("quartzgw." + name + ".count", count));
    }
}
