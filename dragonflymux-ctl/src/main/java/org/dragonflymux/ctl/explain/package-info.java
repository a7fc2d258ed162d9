/** Puts together from hosts' logs what happened to one request, and why. */
package org.dragonflymux.ctl.explain;
