/**
 * The user-facing API to submit, query and cancel jobs. It works on every controller and needs the state service, but
 * not the leader.
 *
 * <p>State owned: the records of open and terminal jobs in the state service, and this controller's caches of these
 * records.
 *
 * <p>Called on the event loop only, by app; progress and recovery use its keys and codecs for the same records.
 */
package io.quartzgw.submission;
