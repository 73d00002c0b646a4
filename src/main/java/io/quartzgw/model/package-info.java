/**
 * Immutable values that several packages share: resources, machine types, job specifications, priorities and team
 * quotas. Owns no state, depends on no other package of the program, and may be used by all others.
 */
package io.quartzgw.model;
