/**
 * The leader's book of what runs or may run where, and the choice of what runs next on which machine: queue, quotas,
 * sampled best fit, preemption. The book is soft state: a new leader rebuilds it from workers' reports.
 */
package io.quartzgw.placement;
