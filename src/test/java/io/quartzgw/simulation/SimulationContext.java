package io.quartzgw.simulation;

import io.quartzgw.liveness.AgentTiming;
import java.util.SplittableRandom;

/**
 * The objects that all components of a simulation share.
 *
 * @param events simulated time
 * @param random the only source of random values; the run of a seed also depends on the order of draws from it
 * @param timing the agents' heartbeat interval, lease duration and cancel limit
 */
record SimulationContext(EventQueue events, SplittableRandom random, AgentTiming timing) {}
