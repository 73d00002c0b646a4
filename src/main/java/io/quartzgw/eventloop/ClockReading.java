package io.quartzgw.eventloop;

/**
 * A moment as one controller's clocks show it.
 *
 * @param steadyMs milliseconds on this process's steady clock; only differences mean anything
 * @param wallClockMs milliseconds of the time of day, within the bound that the settings give
 */
public record ClockReading(long steadyMs, long wallClockMs) {}
