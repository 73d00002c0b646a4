/**
 * Which tasks of open jobs are done, in the state service: packed as bitmaps, written in batches. A worker goes on
 * reporting a finish until the batch that holds it is written.
 */
package io.quartzgw.progress;
