/**
 * The way of a request through a host that sends directly to targets: admission, waiting, attempts, retries and the
 * final answer, as one state machine. Times are milliseconds of the monotonic clock unless a name says otherwise.
 */
package org.dragonflymux.core.gateway;
