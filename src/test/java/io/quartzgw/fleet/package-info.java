/** Tests of scale-out, scale-in and fencing. */
package io.quartzgw.fleet;
