/** Ratpack HTTP clients with their threads, and the names of the protocol between entry hosts and targets. */
package org.dragonflymux.runtime.http;
