/**
 * Which jobs users were told are cancelled, at whichever controller, and up to when a controller knows of all of them.
 * Whoever leads may answer workers only as far as it does.
 */
package io.quartzgw.cancellation;
