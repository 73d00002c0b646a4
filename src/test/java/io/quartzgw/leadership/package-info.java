/** Tests of elections, and of the messages between controllers. */
package io.quartzgw.leadership;
