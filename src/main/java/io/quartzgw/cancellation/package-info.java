/**
 * Spreads cancellations among the controllers, and bounds which of them a controller may not know.
 *
 * <p>State owned: the cancelled jobs that this controller knows, and the moment before which it knows all of them. A
 * leader may renew leases of agents only for a limited time after that moment.
 *
 * <p>Callers: {@code app} records cancellations before it responds to users; {@code leadership} exchanges them with the
 * other controllers and asks for the watermark. All calls are made on the event loop's thread.
 */
package io.quartzgw.cancellation;
