package io.quartzgw.loop;

/**
 * A moment as one node sees it.
 *
 * @param steady milliseconds on this process's steady clock; only differences mean anything
 * @param wall milliseconds of the time of day, within the bound that the settings give
 */
public record Time(long steady, long wall) {}
