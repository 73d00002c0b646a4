/** Tests of how progress is packed and recorded. */
package io.quartzgw.progress;
