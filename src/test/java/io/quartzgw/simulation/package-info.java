/**
 * Simulations of what surrounds the controllers, for tests of whole clusters.
 *
 * <p>{@link io.quartzgw.simulation.ClusterSimulation} runs the program's own controllers, from their event loops up, in
 * simulated time. Simulated are the clock, the network with its faults (partitions, delays, lost and duplicated
 * messages), the state service, the cloud API, the agents of machines and the users. All randomness comes from one
 * seeded source, so that a seed always gives the same run. {@link io.quartzgw.simulation.ProtocolInvariants} checks at
 * every event what machines run and what users are told.
 *
 * <p>Not simulated are the program's HTTP servers and clients, its threads and its process: events of one controller
 * are processed one batch at a time and take no simulated time. {@link io.quartzgw.simulation.LoopbackCluster} covers
 * these parts with the same simulated services over real HTTP, in real time. Nothing here models the load of CPUs or
 * disks, the contents of images, or tasks that misuse the machine they run on.
 */
package io.quartzgw.simulation;
