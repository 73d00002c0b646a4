/** Tests that the pages under {@code docs} and the README match the sources. */
package io.quartzgw.docs;
