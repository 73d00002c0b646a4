/**
 * Tests of whole controllers: in a simulated cluster with faults, where seeds decide what happens, and over HTTP on the
 * loopback interface in real time.
 */
package io.quartzgw.app;
