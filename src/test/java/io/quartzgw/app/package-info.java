/** Tests of whole controllers in the simulated world and over loopback. */
package io.quartzgw.app;
