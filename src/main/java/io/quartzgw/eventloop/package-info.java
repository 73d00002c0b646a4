/**
 * The command queue and the thread that owns all state.
 *
 * <p>{@link io.quartzgw.eventloop.Kernel} is the deterministic side: batches of commands and the time go in, effects
 * come out. {@link io.quartzgw.eventloop.OwnerThread} is the only caller of a kernel in a running process; tests call
 * it directly in simulated time.
 */
package io.quartzgw.eventloop;
