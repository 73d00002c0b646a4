package io.quartzgw.eventloop;

/**
 * A point in time, read from one controller's clocks.
 *
 * @param steadyMs milliseconds of this process's steady (monotonic) clock; only differences are meaningful
 * @param wallClockMs milliseconds since the epoch, accurate to within the bound in the settings
 */
public record ClockReading(long steadyMs, long wallClockMs) {}
