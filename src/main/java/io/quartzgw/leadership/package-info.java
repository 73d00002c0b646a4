/**
 * Who leads: the term, the leader's hold on the state service, the grace of a leader that can't confirm its hold, and
 * what controllers tell each other.
 */
package io.quartzgw.leadership;
