/**
 * The event loop and the thread that owns all state of a controller.
 *
 * <p>{@link io.quartzgw.eventloop.EventLoop} is the deterministic core: its input is batches of events and the current
 * time, its output is effects. It owns the timers, the calls in flight, the counters and the random source. The
 * packages with the controller's logic run inside it. {@link io.quartzgw.eventloop.EventLoopThread} is its only caller
 * in production; tests call it directly in simulated time.
 */
package io.quartzgw.eventloop;
