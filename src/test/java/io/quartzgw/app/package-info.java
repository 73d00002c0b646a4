/**
 * Tests of whole controllers: in a simulated cluster with seeded random faults, and in real time over HTTP on the
 * loopback interface.
 */
package io.quartzgw.app;
