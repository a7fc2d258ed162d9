/** The HTTP client that sends requests and grants to targets. */
package org.dragonflymux.entry.target;
