/**
 * Immutable values that several packages share: resources, machine types, job descriptions, priorities and team quotas.
 * Owns no state and depends on no other package of the program but the JSON helper.
 */
package io.quartzgw.model;
