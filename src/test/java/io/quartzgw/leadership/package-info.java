/** Tests of the messages between controllers. */
package io.quartzgw.leadership;
