/**
 * The program: command line, settings, metrics, and the wiring of every other package into one controller. Owns the
 * runtime of the term that this controller leads; nothing depends on this package.
 */
package io.quartzgw.app;
