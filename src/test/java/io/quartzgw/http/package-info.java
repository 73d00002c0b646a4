/** Tests of the HTTP listener and client. */
package io.quartzgw.http;
