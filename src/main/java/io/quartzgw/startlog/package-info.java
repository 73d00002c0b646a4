/**
 * The start log: a record in the state service of all starts that a leader may send in direct calls. An agent may
 * execute a direct call minutes late, when every controller that tracked it has already crashed. The next leader reads
 * the outstanding starts from the log.
 */
package io.quartzgw.startlog;
