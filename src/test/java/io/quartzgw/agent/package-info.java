/** Tests of the orders that workers get. */
package io.quartzgw.agent;
