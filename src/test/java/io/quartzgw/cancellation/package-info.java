/** Tests of how cancellations are announced, and of the cancellation watermark. */
package io.quartzgw.cancellation;
