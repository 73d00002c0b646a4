/** Tests of how progress is encoded and recorded. */
package io.quartzgw.progress;
