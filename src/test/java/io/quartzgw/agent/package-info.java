/** Tests of the commands that the leader sends to agents. */
package io.quartzgw.agent;
