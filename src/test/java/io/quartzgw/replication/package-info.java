/** Tests of the replication of starts. */
package io.quartzgw.replication;
