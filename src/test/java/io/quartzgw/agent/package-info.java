/** Tests of the commands that agents are sent. */
package io.quartzgw.agent;
