/** Tests of leader election and of the messages between controllers. */
package io.quartzgw.leadership;
