/** Tests of the start log. */
package io.quartzgw.startlog;
