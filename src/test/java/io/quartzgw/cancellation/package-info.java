/** Tests of cancellation announcements and of the cancellation watermark. */
package io.quartzgw.cancellation;
