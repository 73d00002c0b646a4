/**
 * Dealings with workers while this node leads: reports, orders, sessions and attempts. A worker's report outranks what
 * the leader's cluster state says.
 */
package io.quartzgw.agent;
