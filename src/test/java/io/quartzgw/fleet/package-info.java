/** Tests of which machines are rented and returned. */
package io.quartzgw.fleet;
