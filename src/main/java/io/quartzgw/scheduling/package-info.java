/**
 * The leader's cluster state, which says what runs or may run where, and the choice of what runs next on which machine:
 * queue, quotas, sampled best fit, preemption. It is never stored: a new leader rebuilds it from workers' reports.
 */
package io.quartzgw.scheduling;
