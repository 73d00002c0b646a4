/**
 * Distributes cancellations among the controllers, and tracks up to which time a controller has recorded all of them.
 *
 * <p>State: the cancelled jobs that this controller has recorded, and the watermark before which no cancellation is
 * missing. A leader may renew leases of agents only for a limited time after the watermark.
 *
 * <p>Callers: {@code app} records cancellations before it responds to users; {@code leadership} exchanges them with the
 * other controllers and reads the watermark. All calls are made on the event loop's thread.
 */
package io.quartzgw.cancellation;
