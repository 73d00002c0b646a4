/** Tests of the request queue, the protocol codec, the write budget and packed records. */
package io.quartzgw.store;
