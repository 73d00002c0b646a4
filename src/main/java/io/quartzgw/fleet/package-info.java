/** The cloud: machine types, renting, returning, and the machine list. */
package io.quartzgw.fleet;
