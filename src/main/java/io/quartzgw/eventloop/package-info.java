/**
 * The event loop, and the thread that owns all state of a controller.
 *
 * <p>{@link io.quartzgw.eventloop.EventLoop} is the deterministic core: batches of commands and the time go in, effects
 * come out. It owns the timers, the calls in flight, the counters and the random source. Every package above runs
 * inside it. {@link io.quartzgw.eventloop.EventLoopThread} is its only caller in a running process; tests drive it
 * directly in simulated time.
 */
package io.quartzgw.eventloop;
