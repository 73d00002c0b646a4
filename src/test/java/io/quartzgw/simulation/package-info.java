/**
 * Simulation of the controllers' environment, for tests of whole clusters.
 *
 * <p>{@link io.quartzgw.simulation.ClusterSimulation} runs the program's own controllers, from their event loops up, in
 * simulated time. The clock, the network with its faults (partitions, delays, lost and duplicated messages), the state
 * service, the cloud API, the machines' agents and the users are simulated. All random values come from one seeded
 * source, which makes each run reproducible by its seed. {@link io.quartzgw.simulation.ProtocolInvariants} checks, at
 * every event, the tasks that machines run and the responses that users receive.
 *
 * <p>The program's HTTP servers and clients, its threads and its process are not simulated: the events of a controller
 * are processed one batch at a time and take no simulated time. {@link io.quartzgw.simulation.LoopbackCluster} covers
 * these parts with the same simulated services over real HTTP, in real time. Nothing here models the load of CPUs or
 * disks, the contents of images, or tasks that misuse the machine they run on.
 */
package io.quartzgw.simulation;
