/** Tests of the queue of requests, the write budget and packed records. */
package io.quartzgw.store;
