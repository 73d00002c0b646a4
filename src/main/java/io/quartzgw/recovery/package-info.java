/**
 * Rebuilding the cluster state after a takeover, and machines that fall silent: the gather window, tasks assumed to be
 * on silent machines, and the hold of their room.
 */
package io.quartzgw.recovery;
