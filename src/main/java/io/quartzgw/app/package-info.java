/** The program: command line, settings, wiring, metrics. */
package io.quartzgw.app;
