/** Tests of task scheduling. */
package io.quartzgw.scheduling;
