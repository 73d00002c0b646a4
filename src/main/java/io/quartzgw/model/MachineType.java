package io.quartzgw.model;

import java.util.List;

/**
 * A type of machine that the cloud rents out.
 *
 * @param size capacity of one machine
 * @param cacheGb size of the local image cache
 * @param fetchGbPerS rate at which images are fetched
 * @param price on-demand price per hour
 * @param spotPrice spot price per hour
 * @param bootS usual boot time
 * @param zones zones in which the type is offered
 */
public record MachineType(
        String name,
        Resources size,
        double cacheGb,
        double fetchGbPerS,
        double price,
        double spotPrice,
        double bootS,
        List<String> zones) {

    /** The rate at which images are assumed to be fetched on machines of an unlisted type. */
    private static final double UNLISTED_FETCH_GB_PER_S = 1;

    /** A type of which only name and size are known, since the cloud's table lacks it; it can't be rented. */
    public static MachineType unlisted(String name, Resources size) {
        return new MachineType(name, size, 0, UNLISTED_FETCH_GB_PER_S, 0, 0, 0, List.of());
    }

    /** Price per hour of a spot or an on-demand machine. */
    public double price(boolean spot) {
        return spot ? spotPrice : price;
    }

    /** The usual boot time in milliseconds. */
    public long bootMs() {
        return (long) (bootS * 1000);
    }
}
