/** Detection and quarantine of requests that crash their targets. */
package org.dragonflymux.core.quarantine;
