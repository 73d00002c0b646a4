/** Tests of the liveness of agents. */
package io.quartzgw.liveness;
