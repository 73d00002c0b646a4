/** Tests of the log of starts. */
package io.quartzgw.startlog;
