/**
 * The log of the starts that a leader's direct calls may carry, in the state service. A direct call may be executed
 * minutes late, and may outlive every controller that knew of it; the log tells whichever leads next.
 */
package io.quartzgw.startlog;
