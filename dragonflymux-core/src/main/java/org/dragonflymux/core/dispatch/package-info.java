/** Dispatch of requests to targets: concurrency limits, warm-up, queues and fair sharing between customers. */
package org.dragonflymux.core.dispatch;
