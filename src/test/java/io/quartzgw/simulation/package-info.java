/** Stand-ins for the outside systems, and the simulated world that joins them. */
package io.quartzgw.simulation;
