/** Tests of the event loop. */
package io.quartzgw.eventloop;
