/** Tests of records packed into pages. */
package io.quartzgw.store;
