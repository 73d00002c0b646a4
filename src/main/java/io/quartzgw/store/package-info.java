/**
 * The client of the state service: guarded transactions, lists, follows and holds, inside this node's share of the
 * service's request and write limits.
 */
package io.quartzgw.store;
