/** Reconstructs from the logs of hosts what happened to a request, and why. */
package org.dragonflymux.ctl.explain;
