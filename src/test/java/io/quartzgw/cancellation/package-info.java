/** Tests of how cancellations are passed on and of what they allow. */
package io.quartzgw.cancellation;
