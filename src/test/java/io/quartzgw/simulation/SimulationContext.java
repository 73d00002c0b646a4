package io.quartzgw.simulation;

import io.quartzgw.liveness.AgentTiming;
import java.util.SplittableRandom;

/**
 * What all parts of a simulation share.
 *
 * @param events simulated time
 * @param random the one source of randomness; the order of draws from it is a part of what a seed stands for
 * @param timing the heartbeat period, lease and cancellation limit of the agents
 */
record SimulationContext(EventQueue events, SplittableRandom random, AgentTiming timing) {}
