/**
 * The users' interface: validate, accept, poll and abort jobs. It works on every node and needs the state service, but
 * not the leader.
 */
package io.quartzgw.submission;
