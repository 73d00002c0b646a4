/** Tests of placement, and of what reports prove. */
package io.quartzgw.scheduling;
