/**
 * Fenced, time-limited grants that a dispatcher gives to a target, and the detection of whether the target is alive.
 */
package org.dragonflymux.core.grant;
